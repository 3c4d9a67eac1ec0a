#include <algorithm>
#include <boost/beast/zlib.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/control.h"

namespace ibishold {

namespace zlib = boost::beast::zlib;

namespace {

// Maximum size of a document's text. Larger than the platform's limit for a value.
constexpr std::size_t kMaxTextBytes = 4U << 20U;

kj::ArrayPtr<const kj::byte> ToByteArray(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

}  // namespace

bool WriteDocument(const ControlView& view,
                   wire::GetDocument::Reader request,
                   wire::Document::Builder out) {
  const std::string_view key = request.getKey().cStr();
  const auto document =
      std::find_if(view.documents.begin(), view.documents.end(),
                   [&](const Document& candidate) { return candidate.digest.key == key; });
  out.setKey(request.getKey());
  if (document == view.documents.end()) {
    return false;
  }
  out.setGeneration(document->digest.generation);
  out.setHash(document->digest.hash);
  if (!document->packed) {
    out.setBody(ToByteArray(document->text));
    return true;
  }
  out.setBody(ToByteArray(*document->packed));
  out.setDeflated(true);
  out.setTextBytes(static_cast<std::uint32_t>(document->text.size()));
  return true;
}

absl::StatusOr<std::optional<Document>> ReadDocument(wire::Document::Reader frame) {
  if (frame.getGeneration() == 0 && frame.getBody().size() == 0) {
    return std::optional<Document>();
  }
  Document document;
  document.digest = {std::string(frame.getKey().cStr()), frame.getGeneration(), frame.getHash()};
  const auto body = frame.getBody();
  const std::string_view bytes(reinterpret_cast<const char*>(body.begin()), body.size());
  if (!frame.getDeflated()) {
    document.text = std::string(bytes);
    return std::optional<Document>(std::move(document));
  }
  absl::StatusOr<std::string> text = Inflate(bytes, frame.getTextBytes());
  if (!text.ok()) {
    return text.status();
  }
  document.text = *std::move(text);
  document.packed = std::make_shared<const std::string>(bytes);
  return std::optional<Document>(std::move(document));
}

std::string Deflate(std::string_view text) {
  zlib::deflate_stream stream;
  // zlib's defaults: compression level 6, a 32 KiB window (2^15) and memory level 8.
  stream.reset(6, 15, 8, zlib::Strategy::normal);
  std::string deflated(stream.upper_bound(text.size()) + 64, '\0');
  zlib::z_params stream_buffers;
  stream_buffers.next_in = text.data();
  stream_buffers.avail_in = text.size();
  stream_buffers.next_out = deflated.data();
  stream_buffers.avail_out = deflated.size();
  boost::system::error_code error;
  stream.write(stream_buffers, zlib::Flush::finish, error);
  deflated.resize(stream_buffers.total_out);
  return deflated;
}

absl::StatusOr<std::string> Inflate(std::string_view deflated, std::size_t text_bytes) {
  if (text_bytes > kMaxTextBytes) {
    return absl::InvalidArgumentError(absl::StrCat(
        "document of ", text_bytes, " bytes exceeds the limit of ", kMaxTextBytes, " bytes"));
  }
  zlib::inflate_stream stream;
  stream.reset(15);
  std::string text(text_bytes + 1, '\0');
  zlib::z_params stream_buffers;
  stream_buffers.next_in = deflated.data();
  stream_buffers.avail_in = deflated.size();
  stream_buffers.next_out = text.data();
  stream_buffers.avail_out = text.size();
  boost::system::error_code error;
  stream.write(stream_buffers, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream || stream_buffers.total_out != text_bytes) {
    return absl::InvalidArgumentError("the deflated document body is damaged");
  }
  text.resize(text_bytes);
  return text;
}

}  // namespace ibishold
