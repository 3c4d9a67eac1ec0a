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

// Fetches one document from another broker on a link of its own, which is closed afterwards: links
// that stay open to randomly chosen peers would add up to a full mesh.
class DocumentFetch : public std::enable_shared_from_this<DocumentFetch> {
 public:
  using Handler = std::function<void(absl::StatusOr<std::optional<Document>>)>;

  DocumentFetch(boost::asio::io_context& context, LinkOptions options, Handler handler);

  // The handler runs once, at the latest after `limit`.
  void Start(const std::string& address, std::uint16_t port, std::string key, Duration limit);

 private:
  void Connected();
  void Finish(absl::StatusOr<std::optional<Document>> result);

  LinkOptions options;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string key;
  FrameLinkPtr link;
  Handler handler;
};

}  // namespace ibishold

#endif  // SRC_CONTROL_DOCUMENT_FETCH_H_
