#ifndef IBISHOLD_CONTROL_H_
#define IBISHOLD_CONTROL_H_

// Control work of one VM: documents of the platform, exchange with other VMs, and the view that the
// other threads and the front act on.
//
// Index of this header:
//   1. ControlOptions   addresses, callbacks, counters
//   2. ControlDuty      the control thread
//   3. Views on links   getView and view between a front and its broker
//   4. Documents        getDocument and document between brokers
//   5. Quarantine       reports that a broker sends to fronts and other brokers
//   6. Datagrams        heartbeats on UDP

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
  std::string address = "127.0.0.1";           // IP number of this VM
  std::uint16_t gossip_port = 8091;            // UDP heartbeats, the same on all VMs; 8091
  std::uint16_t link_port = 8090;              // brokers' links, the same on all VMs; 8090
  std::string platform_address = "127.0.0.1";  // IP number
  std::uint16_t platform_port = 8080;          // HTTP; 8080
  Incarnation incarnation = 0;                 // of this process
  std::uint64_t random_seed = 0;                      // of jitter and choices; 0: from the incarnation
  std::vector<std::string> seed_addresses;              // IP numbers of peers to ask before any list; none

  // Runs on the control thread for a refused document and for two documents of one generation.
  std::function<void(const std::string&)> on_alarm;
  // Runs on the control thread after every change of the view. Must not block.
  std::function<void(ControlViewPtr)> on_view_change;
};

// Counts since Start.
struct ControlCounters {
  std::uint64_t platform_calls = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t datagram_bytes_sent = 0;
  std::uint64_t datagram_bytes_received = 0;
  std::uint64_t documents_fetched = 0;  // from peers
  std::uint64_t documents_refused = 0;
  std::uint64_t document_conflicts = 0;
};

// ---- 2. ControlDuty -----------------------------------------------------------------------------

// Runs on its own thread from Start to Stop. All methods may be called from any thread.
class ControlDuty {
 public:
  explicit ControlDuty(ControlOptions options);
  ~ControlDuty();
  ControlDuty(const ControlDuty&) = delete;
  ControlDuty& operator=(const ControlDuty&) = delete;

  // Errors: Unavailable if the address for heartbeats cannot be bound.
  absl::Status Start();
  void Stop();  // idempotent; no callback runs after it returns

  ControlViewPtr view() const;  // latest view; never null after Start

  // This VM may start leaf work while `now` is below this time. Leaf code compares it with
  // BootClock::now() before each send, because a process that was suspended holds an old view.
  TimePoint hold_until() const;

  ControlCounters counters() const;

  void AnnounceLeaving();  // planned stop: tells the peers that this VM takes no new work
  // Tells the peers who took over the tokens of a stopped run of a front.
  void AnnounceSuccessor(TokenHomeRun home, TokenSuccessor successor);

 private:
  struct State;
  std::unique_ptr<State> state;
};

// ---- 3. Views on links --------------------------------------------------------------------------

// Lists the documents that the sender of a getView frame has. `view` may be null.
void WriteGetView(const ControlView* view, wire::GetView::Builder out);

// Fills a view frame; documents are included where the known digests are older or lacking.
void WriteView(const ControlView& view,
               capnp::List<wire::Digest>::Reader known_digests,
               wire::View::Builder out);

// The view after a view frame. Documents replace those of `previous` (may be null) only if they
// supersede them, so that a broker that restarted beside a stale platform takes nothing back.
// Errors: InvalidArgument if a document cannot be parsed.
absl::StatusOr<ControlViewPtr> ReadView(wire::View::Reader frame, const ControlViewPtr& previous);

// ---- 4. Documents on links ----------------------------------------------------------------------

// Answers a getDocument frame of another broker. False if the view has no such document; then `out`
// holds the key with generation 0.
bool WriteDocument(const ControlView& view,
                   wire::GetDocument::Reader request,
                   wire::Document::Builder out);

// The document of a frame; nothing if the sender has none. Errors: InvalidArgument (damaged body).
absl::StatusOr<std::optional<Document>> ReadDocument(wire::Document::Reader frame);

// Raw deflate stream of a text and its inverse. Errors: InvalidArgument if the stream is damaged or
// yields another length.
std::string Deflate(std::string_view text);
absl::StatusOr<std::string> Inflate(std::string_view deflated, std::size_t text_bytes);

// ---- 5. Quarantine on links ---------------------------------------------------------------------

// The report of a quarantine frame.
QuarantineReport ReadQuarantineReport(wire::Quarantine::Reader frame);

// ---- 6. Datagrams -------------------------------------------------------------------------------

// One packed Cap'n Proto message of type Datagram; packing halves its size.
std::string EncodeDatagram(const HeartbeatMessage& message);
// Errors: InvalidArgument.
absl::StatusOr<HeartbeatMessage> DecodeDatagram(std::string_view datagram);

}  // namespace ibishold

#endif  // IBISHOLD_CONTROL_H_
