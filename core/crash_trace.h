#ifndef CORE_CRASH_TRACE_H_
#define CORE_CRASH_TRACE_H_

namespace shallot {

/// Writes the signal's number and the calling thread's stack to a file descriptor, one line per
/// frame with the module and the offset in it. Async-signal-safe after the first call of
/// InstallCrashTrace().
void WriteCrashTrace(int descriptor, int signal);

/// Makes fatal signals (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT) write a stack trace to standard
/// output before they end the process.
void InstallCrashTrace();

}  // namespace shallot

#endif  // CORE_CRASH_TRACE_H_
