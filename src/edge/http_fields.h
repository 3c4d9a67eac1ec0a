#ifndef SRC_EDGE_HTTP_FIELDS_H_
#define SRC_EDGE_HTTP_FIELDS_H_

#include <boost/beast/http/fields.hpp>
#include <string_view>
#include <vector>

#include "ibishold/call.h"

namespace ibishold {

// Whether the header applies to a single connection (RFC 9110, 7.6.1) or frames the message.
bool IsHopByHopHeader(std::string_view name);

// Returns all headers except the hop-by-hop headers and those that the Connection header lists.
std::vector<HeaderField> EndToEndHeaders(const boost::beast::http::fields& fields);

}  // namespace ibishold

#endif  // SRC_EDGE_HTTP_FIELDS_H_
