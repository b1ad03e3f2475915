#include "core/crash_trace.h"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>
#include <string_view>

namespace shallot {
namespace {

constexpr int kMaxFrames = 48;

void Write(int descriptor, std::string_view text) {
  // Nothing can be done about a failed write in a signal handler.
  [[maybe_unused]] const ssize_t written = write(descriptor, text.data(), text.size());
}

void OnFatalSignal(int signal) {
  WriteCrashTrace(STDOUT_FILENO, signal);
  // The handler was removed by SA_RESETHAND, so the signal now ends the process.
  (void)std::raise(signal);
}

}  // namespace

void WriteCrashTrace(int descriptor, int signal) {
  std::array<char, 4> digits{};
  size_t used = 0;
  if (signal >= 10) digits[used++] = static_cast<char>('0' + signal / 10 % 10);
  digits[used++] = static_cast<char>('0' + signal % 10);
  Write(descriptor, "\ncrash: event=fatal-signal signal=");
  Write(descriptor, std::string_view(digits.data(), used));
  Write(descriptor, "\n");
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  backtrace_symbols_fd(frames.data(), count, descriptor);
}

void InstallCrashTrace() {
  // The first call of backtrace() loads a library, which is not allowed in a signal handler.
  std::array<void*, 1> frame{};
  (void)backtrace(frame.data(), 1);
  struct sigaction action {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  sigemptyset(&action.sa_mask);
  for (const int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
    (void)sigaction(signal, &action, nullptr);
  }
}

}  // namespace shallot
