@0x9d0c7a1be2f3a4c5;

# One call of the size of a batch of leaf requests, for comparing transports.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ibishold::bench");

interface Echo {
  call @0 (payload :Data) -> (payload :Data);
}
