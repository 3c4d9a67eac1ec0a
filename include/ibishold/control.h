#ifndef IBISHOLD_CONTROL_H_
#define IBISHOLD_CONTROL_H_

// Control plane of one VM: reads documents from the platform, exchanges heartbeats and documents
// with other VMs, and publishes the resulting view to the broker's other threads and to the front.
//
// Index of this header:
//   1. ControlOptions   addresses, callbacks and counters
//   2. ControlThread    the thread that runs the control plane
//   3. Views on links   getView and view frames between a front and its broker
//   4. Documents        getDocument and document frames between brokers
//   5. Quarantine       crash reports that a broker sends to fronts and other brokers
//   6. Datagrams        heartbeats over UDP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/config.h"
#include "ibishold/core.h"
#include "ibishold/membership.h"
#include "ibishold/quarantine.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// ---- 1. ControlOptions --------------------------------------------------------------------------

struct ControlOptions {
  VmId vm;                                     // this VM
  DataCentre data_centre;                      // of this VM
  std::string address = "127.0.0.1";           // IP address of this VM
  std::uint16_t gossip_port = 8091;            // UDP port for heartbeats, the same on all VMs; 8091
  std::uint16_t link_port = 8090;              // TCP port for links, the same on all VMs; 8090
  std::string platform_address = "127.0.0.1";  // IP address
  std::uint16_t platform_port = 8080;          // HTTP port; 8080
  Incarnation incarnation = 0;                 // of this process
  std::uint64_t random_seed = 0;               // of jitter and choices; 0: from VM and incarnation
  std::vector<std::string> seed_addresses;     // IP addresses of the first peers to contact; none

  // Runs on the control thread when a document is refused or when two different documents have the
  // same generation. The argument describes the problem.
  std::function<void(const std::string&)> on_alarm;
  // Runs on the control thread whenever the view changes. Must not block.
  std::function<void(ControlViewPtr)> on_view_change;
};

// Totals since Start.
struct ControlCounters {
  std::uint64_t platform_calls = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t datagram_bytes_sent = 0;
  std::uint64_t datagram_bytes_received = 0;
  std::uint64_t documents_fetched = 0;  // received from peers
  std::uint64_t documents_refused = 0;
  std::uint64_t document_conflicts = 0;
};

// ---- 2. ControlThread ---------------------------------------------------------------------------

// Runs the control plane on its own thread from Start to Stop. All methods are thread-safe.
class ControlThread {
 public:
  explicit ControlThread(ControlOptions options);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  // Errors: Unavailable if the UDP socket for heartbeats cannot be opened or bound.
  absl::Status Start();
  void Stop();  // idempotent; no callback runs after Stop returns

  ControlViewPtr view() const;  // latest view; never null after Start

  // This VM may start leaf work only before this time. Callers compare it with BootClock::now()
  // before each send, because the view may be out of date after the process was suspended.
  TimePoint hold_until() const;

  ControlCounters counters() const;

  // Announces a planned stop to the peers: this VM takes no new work.
  void AnnounceLeaving();
  // Announces to the peers which VM took over the tokens of a stopped front run.
  void AnnounceSuccessor(TokenHomeRun home, TokenSuccessor successor);

 private:
  struct State;
  std::unique_ptr<State> state;
};

// ---- 3. Views on links --------------------------------------------------------------------------

// Fills a getView frame with the digests of the documents in `view`, which may be null.
void WriteGetView(const ControlView* view, wire::GetView::Builder out);

// Fills a view frame. It contains only the documents that the receiver lacks or has in an older
// version, according to `known_digests`.
void WriteView(const ControlView& view,
               capnp::List<wire::Digest>::Reader known_digests,
               wire::View::Builder out);

// Returns the view that results from applying a view frame to `previous_view`, which may be null. A
// document replaces the previous one only if it supersedes it: a broker that restarted and read
// outdated documents from the platform must not roll back its front. Errors: InvalidArgument if a
// document cannot be parsed.
absl::StatusOr<ControlViewPtr> ReadView(wire::View::Reader frame,
                                        const ControlViewPtr& previous_view);

// ---- 4. Documents on links ----------------------------------------------------------------------

// Fills the answer to a getDocument frame of another broker. Returns false if the view lacks the
// document; `out` then contains the key and generation 0.
bool WriteDocument(const ControlView& view,
                   wire::GetDocument::Reader request,
                   wire::Document::Builder out);

// Returns the document of a frame, or nullopt if the sender lacks it. Errors: InvalidArgument if
// the body is damaged.
absl::StatusOr<std::optional<Document>> ReadDocument(wire::Document::Reader frame);

// Compresses a text to a raw deflate stream, and decompresses such a stream to a text of
// `text_bytes` bytes. Errors: InvalidArgument if the stream is damaged or has a different length,
// or if `text_bytes` is too large.
std::string Deflate(std::string_view text);
absl::StatusOr<std::string> Inflate(std::string_view deflated, std::size_t text_bytes);

// ---- 5. Quarantine on links ---------------------------------------------------------------------

QuarantineReport ReadQuarantineReport(wire::Quarantine::Reader frame);

// ---- 6. Datagrams -------------------------------------------------------------------------------

// Encodes a heartbeat as one packed Cap'n Proto message of type Datagram. Packing halves its size.
std::string EncodeDatagram(const HeartbeatMessage& message);
// Errors: InvalidArgument if the datagram is malformed or names no sender.
absl::StatusOr<HeartbeatMessage> DecodeDatagram(std::string_view datagram);

}  // namespace ibishold

#endif  // IBISHOLD_CONTROL_H_
