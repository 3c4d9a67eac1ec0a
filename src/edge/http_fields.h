#ifndef SRC_EDGE_HTTP_FIELDS_H_
#define SRC_EDGE_HTTP_FIELDS_H_

#include <boost/beast/http/fields.hpp>
#include <string_view>
#include <vector>

#include "ibishold/call.h"

namespace ibishold {

// Headers that concern only one connection (RFC 9110, 7.6.1), and the ones that frame a message.
bool IsHopByHopHeader(std::string_view name);

// All headers but those of IsHopByHopHeader and those that the Connection header names.
std::vector<HeaderField> EndToEndHeaders(const boost::beast::http::fields& fields);

}  // namespace ibishold

#endif  // SRC_EDGE_HTTP_FIELDS_H_
