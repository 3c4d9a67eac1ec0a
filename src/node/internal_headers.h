#ifndef SRC_NODE_INTERNAL_HEADERS_H_
#define SRC_NODE_INTERNAL_HEADERS_H_

#include <string_view>
#include <vector>

#include "absl/strings/match.h"
#include "ibishold/call.h"

namespace ibishold {

// Headers that VMs send each other begin with this.
inline constexpr std::string_view kInternalHeaderPrefix = "Ibishold-";

// Header of a request that is handed over: "OUTSIDE_US,VERSION,SENT,COST_US". OUTSIDE_US is
// Call::external_latency at the VM that hands over, VERSION is the version of its routes (0: none),
// SENT is 1 if leaves may have received the request already, and COST_US is the last measured cost
// of a hand-over, or empty. Times are in microseconds.
inline constexpr const char* kHandOverHeader = "Ibishold-Hand-Over";
// Header of a request that is handed over: Call::single_attempt_time, in microseconds.
inline constexpr const char* kSingleAttemptHeader = "Ibishold-Single-Attempt";
// Header of a request that is handed over: the hash of the caller's key.
inline constexpr const char* kKeyHashHeader = "Ibishold-Key-Hash";
// Response header that says that the peer did not accept the call and sent nothing for it.
inline constexpr const char* kDeclinedHeader = "Ibishold-Declined";
// Response header for the VM that handed a call over: the call has not run and will not run.
inline constexpr const char* kNotRunHeader = "Ibishold-Not-Run";
// Response header for the VM that handed a call over: the time that the coordinator took, in
// microseconds.
inline constexpr const char* kCoordinatorTimeHeader = "Ibishold-Took";

// Callers and leaves must not be able to speak for a VM.
inline void RemoveInternalHeaders(std::vector<HeaderField>& headers) {
  std::erase_if(headers, [](const HeaderField& field) {
    return absl::StartsWithIgnoreCase(field.name,
                                      {kInternalHeaderPrefix.data(), kInternalHeaderPrefix.size()});
  });
}

}  // namespace ibishold

#endif  // SRC_NODE_INTERNAL_HEADERS_H_
