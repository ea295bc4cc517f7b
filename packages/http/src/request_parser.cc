#include "request_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

namespace ebonypin::http {
namespace {

namespace beast = boost::beast;
using beast::http::error;
using beast::http::field;

/// Memory of one header besides its bytes: the node of the map and the blocks of its two strings. A
/// head of many tiny headers needs far more memory than it has bytes.
constexpr std::size_t kHeaderOverhead = 160;

ParseVerdict VerdictOf(const beast::error_code& code) {
  if (code == error::header_limit) return ParseVerdict::kHeadTooLarge;
  if (code == error::body_limit) return ParseVerdict::kBodyTooLarge;
  return ParseVerdict::kMalformed;
}

}  // namespace

RequestParser::RequestParser(const std::size_t max_head_bytes, const std::size_t max_body_bytes)
    : m_max_head_bytes(max_head_bytes), m_max_body_bytes(max_body_bytes) {
  header_limit(static_cast<std::uint32_t>(
      std::min<std::size_t>(max_head_bytes, std::numeric_limits<std::uint32_t>::max())));
  body_limit(max_body_bytes);
}

ParseResult RequestParser::Parse(const std::string_view data) {
  std::size_t used = 0;
  if (!got_some()) {
    // RFC 7230, section 3.5: empty lines before the request line are ignored.
    used = std::min(data.find_first_not_of("\r\n"), data.size());
    m_head_bytes += used;
    if (m_head_bytes > m_max_head_bytes) return {ParseVerdict::kHeadTooLarge, used};
  }
  while (!is_done() && used < data.size()) {
    // The limits of the library apply to each line, these to the sum of all lines.
    std::size_t& lines = m_head_complete ? m_framing_bytes : m_head_bytes;
    const std::size_t body = m_request.m_body.size();
    beast::error_code code;
    const std::size_t consumed =
        put(boost::asio::const_buffer(data.data() + used, data.size() - used), code);
    used += consumed;
    const std::size_t body_bytes = m_request.m_body.size() - body;
    // The limit is on each chunk header and on the trailers: a body of many small chunks is valid.
    if (m_head_complete && body_bytes > 0) lines = 0;
    lines += consumed - body_bytes;
    const bool needs_more = code == error::need_more;
    const std::size_t pending = needs_more ? data.size() - used : 0;
    if (lines + pending > m_max_head_bytes) return {ParseVerdict::kHeadTooLarge, used};
    if (needs_more) return {ParseVerdict::kIncomplete, used};
    if (code) return {VerdictOf(code), used};
  }
  return {is_done() ? ParseVerdict::kComplete : ParseVerdict::kIncomplete, used};
}

std::size_t RequestParser::MemoryBytes() const noexcept {
  return m_field_bytes + m_request.m_body.capacity();
}

std::size_t RequestParser::MemoryBytesAfter(const std::size_t more) const noexcept {
  return m_field_bytes + CapacityFor(m_request.m_body.size() + more);
}

std::size_t RequestParser::CapacityFor(const std::size_t size) const noexcept {
  const std::size_t capacity = m_request.m_body.capacity();
  if (size <= capacity) return capacity;
  return std::max(std::min(size, m_max_body_bytes), std::min(2 * capacity, m_max_body_bytes));
}

void RequestParser::on_request_impl(beast::http::verb, const StringView method,
                                    const StringView target, const int version, ErrorCode&) {
  m_version = static_cast<unsigned>(version);
  m_request.m_method.assign(method.data(), method.size());
  const std::string_view text(target.data(), target.size());
  const std::size_t question = text.find('?');
  m_request.m_path = text.substr(0, question);
  if (question != std::string_view::npos) m_request.m_query = text.substr(question + 1);
  m_field_bytes += method.size() + target.size() + kHeaderOverhead;
}

void RequestParser::on_response_impl(int, StringView, int, ErrorCode&) {}

void RequestParser::on_field_impl(const field name, const StringView name_text,
                                  const StringView value, ErrorCode& code) {
  // Trailers are dropped: they must not replace headers that were acted upon.
  if (m_head_complete) return;
  m_field_bytes += name_text.size() + value.size() + kHeaderOverhead;
  const auto [at, added] = m_request.m_headers.try_emplace(
      std::string(name_text.data(), name_text.size()), value.data(), value.size());
  if (!added) {
    // Two hosts or encodings could be read differently by a proxy in front of this server.
    if (name == field::host || name == field::transfer_encoding) {
      code = error::bad_value;
      return;
    }
    at->second.append(", ").append(value.data(), value.size());
  }
  if (name == field::expect && beast::iequals(value, "100-continue")) m_expects_continue = true;
  // The body of another encoding would be taken for the next request.
  if (name == field::transfer_encoding && !beast::iequals(value, "chunked")) {
    code = error::bad_transfer_encoding;
  }
}

void RequestParser::on_header_impl(ErrorCode&) { m_head_complete = true; }

void RequestParser::on_body_init_impl(const ContentLength& length, ErrorCode&) {
  // The length is within the limit here.
  if (length) m_max_body_bytes = static_cast<std::size_t>(*length);
}

std::size_t RequestParser::on_body_impl(const StringView body, ErrorCode&) {
  std::string& text = m_request.m_body;
  const std::size_t capacity = CapacityFor(text.size() + body.size());
  if (capacity > text.capacity()) {
    // A string that grows by itself may double beyond the limit.
    std::string grown;
    grown.reserve(capacity);
    text = std::move(grown.append(text));
  }
  text.append(body.data(), body.size());
  return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t, StringView, ErrorCode&) {}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, const StringView body,
                                              ErrorCode& code) {
  return on_body_impl(body, code);
}

void RequestParser::on_finish_impl(ErrorCode&) {}

}  // namespace ebonypin::http
