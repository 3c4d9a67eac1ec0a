#include <algorithm>
#include <cctype>

#include "ibishold/core.h"

namespace ibishold {

std::vector<std::string_view> SplitText(std::string_view text, char separator) {
  std::vector<std::string_view> pieces;
  for (;;) {
    const std::size_t separator_pos = text.find(separator);
    pieces.push_back(text.substr(0, separator_pos));
    if (separator_pos == std::string_view::npos) {
      return pieces;
    }
    text.remove_prefix(separator_pos + 1);
  }
}

std::string_view TrimText(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  const std::size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

}  // namespace ibishold
