#ifndef STANDINS_LEAF_ADMIN_H_
#define STANDINS_LEAF_ADMIN_H_

#include <memory>
#include <string>
#include <vector>

#include "standins/leaf_model.h"

namespace ibishold::standin {

// All leaves of one process and the API that steers them.
class LeafAdmin {
 public:
  // data_centre: empty for all. Throws if an address cannot be bound.
  LeafAdmin(asio::io_context& context,
            const Topology& topology,
            const std::string& data_centre,
            const LeafOptions& options,
            bool warm);

  asio::awaitable<std::optional<HttpResponse>> Handle(const HttpRequest& request);

 private:
  HttpResponse Act(const std::string& action, const json::object& body);
  json::value RecordsToJson() const;

  LeafOptions options;
  RunLog log;
  std::vector<std::unique_ptr<LeafModel>> leaves;
};

}  // namespace ibishold::standin

#endif  // STANDINS_LEAF_ADMIN_H_
