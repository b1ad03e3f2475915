#ifndef DRIVERS_CRASH_CODEC_H_
#define DRIVERS_CRASH_CODEC_H_

#include "servers/crash_quarantine.h"

namespace shallot {

namespace wire {
class CrashFindings;
}  // namespace wire

void EncodeCrashFindings(const CrashFindings& findings, wire::CrashFindings* wire);
CrashFindings DecodeCrashFindings(const wire::CrashFindings& wire);

}  // namespace shallot

#endif  // DRIVERS_CRASH_CODEC_H_
