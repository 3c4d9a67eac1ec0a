#include "result.h"

int main() {
  using namespace ibishold::bench;  // NOLINT(google-build-using-namespace)
  for (const std::size_t in_flight : {1U, 16U, 64U}) {
    const TransportOptions options{.in_flight = in_flight};
    for (int run = 0; run < 3; ++run) {
      Print("frame_link", RunFrameLinks(options), in_flight);
      Print("capnp_rpc_with_rings", RunRpc(options), in_flight);
    }
  }
  return 0;
}
