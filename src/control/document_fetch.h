#ifndef SRC_CONTROL_DOCUMENT_FETCH_H_
#define SRC_CONTROL_DOCUMENT_FETCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "ibishold/config.h"
#include "ibishold/net.h"

namespace ibishold {

// Fetches one document from another broker over a separate link and then closes the link. Links to
// randomly chosen peers that stayed open would add up to a full mesh.
class DocumentFetch : public std::enable_shared_from_this<DocumentFetch> {
 public:
  using Handler = std::function<void(absl::StatusOr<std::optional<Document>>)>;

  DocumentFetch(boost::asio::io_context& context, LinkOptions link_options, Handler handler);

  // The handler runs exactly once, no later than `timeout` after this call.
  void Start(const std::string& address,
             std::uint16_t port,
             std::string document_key,
             Duration timeout);

 private:
  void OnConnected();
  void Finish(absl::StatusOr<std::optional<Document>> result);

  LinkOptions link_options;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timeout_timer;
  std::string requested_key;
  FrameLinkPtr link;
  Handler handler;
};

}  // namespace ibishold

#endif  // SRC_CONTROL_DOCUMENT_FETCH_H_
