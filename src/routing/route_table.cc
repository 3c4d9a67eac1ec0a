#include <algorithm>
#include <cctype>

#include "ibishold/routing.h"

namespace ibishold {

namespace {

// Hosts hold no slash and prefixes begin with one, so the concatenation is unambiguous.
std::string IndexKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key.append(prefix);
  return key;
}

}  // namespace

std::string CanonicalHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

void RouteTable::BuildIndex() {
  this->by_host_and_prefix.clear();
  for (std::size_t i = 0; i < this->routes.size(); ++i) {
    const Route& route = this->routes[i];
    this->by_host_and_prefix.emplace(IndexKey(route.host, route.prefix), i);
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const std::string canonical = CanonicalHost(host);
  // Prefixes end with a slash, so only the path's own slashes can end a matching prefix.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    const auto found =
        this->by_host_and_prefix.find(IndexKey(canonical, path.substr(0, slash + 1)));
    if (found != this->by_host_and_prefix.end()) {
      return &this->routes[found->second];
    }
  }
  return nullptr;
}

}  // namespace ibishold
