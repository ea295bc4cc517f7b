/// Parser of one request that refuses what exceeds the limits.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

#include "ebonypin/http/server.h"

namespace ebonypin::http {

enum class ParseVerdict : std::uint8_t {
  kIncomplete,
  kComplete,
  kHeadTooLarge,
  kBodyTooLarge,
  kMalformed,
};

struct ParseResult {
  ParseVerdict m_verdict = ParseVerdict::kIncomplete;
  std::size_t m_consumed = 0;  ///< The remaining bytes must be passed again, with those after them.
};

class RequestParser : private boost::beast::http::basic_parser<true> {
 public:
  RequestParser(std::size_t max_head_bytes, std::size_t max_body_bytes);

  /// Parses `data`. Must not be called after a verdict other than kIncomplete.
  ParseResult Parse(std::string_view data);

  [[nodiscard]] bool IsHeadComplete() const noexcept { return m_head_complete; }
  /// Whether the client waits for "100 Continue" before it sends the body.
  [[nodiscard]] bool ExpectsContinue() const noexcept { return m_expects_continue; }
  [[nodiscard]] bool KeepsAlive() const { return keep_alive(); }
  [[nodiscard]] unsigned Version() const noexcept { return m_version; }  ///< 10 or 11.
  [[nodiscard]] bool IsHead() const noexcept { return m_request.m_method == "HEAD"; }

  /// Memory that the request uses, in bytes.
  [[nodiscard]] std::size_t MemoryBytes() const noexcept;
  /// The same after `more` bytes of the body.
  [[nodiscard]] std::size_t MemoryBytesAfter(std::size_t more) const noexcept;

  /// Moves out the request, which is complete after kComplete.
  [[nodiscard]] Request TakeMessage() noexcept { return std::move(m_request); }

 private:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;
  using ContentLength = boost::optional<std::uint64_t>;

  void on_request_impl(boost::beast::http::verb verb, StringView method, StringView target,
                       int version, ErrorCode& error) override;
  void on_response_impl(int status, StringView reason, int version, ErrorCode& error) override;
  void on_field_impl(boost::beast::http::field field, StringView name, StringView value,
                     ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const ContentLength& length, ErrorCode& error) override;
  std::size_t on_body_impl(StringView body, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size, StringView extensions, ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView body,
                                 ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;

  /// Capacity of the body when it has `size` bytes.
  [[nodiscard]] std::size_t CapacityFor(std::size_t size) const noexcept;

  std::size_t m_max_head_bytes;
  std::size_t m_max_body_bytes;  ///< The declared length once that is known.
  std::size_t m_head_bytes = 0;
  std::size_t m_framing_bytes = 0;  ///< Chunk headers and trailers.
  std::size_t m_field_bytes = 0;    ///< Memory of the path, the query and the headers.
  bool m_head_complete = false;
  bool m_expects_continue = false;
  unsigned m_version = 11;
  Request m_request;
};

}  // namespace ebonypin::http
