/// Stream that counts the bytes that it transfers.
#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>

namespace ebonypin::wire {

/// Payload bytes on all connections of a process, without TCP and IP headers.
struct ByteCounters {
  std::atomic<std::uint64_t> m_sent{0};
  std::atomic<std::uint64_t> m_received{0};
};

/// Forwards all calls to another stream and adds the transferred bytes to the counters.
class CountingStream final : public kj::AsyncIoStream {
 public:
  CountingStream(kj::Own<kj::AsyncIoStream> inner, ByteCounters& counters)
      : m_inner(kj::mv(inner)), m_counters(counters) {}

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    return m_inner->tryRead(buffer, min_bytes, max_bytes).then([this](const std::size_t read) {
      m_counters.m_received += read;
      return read;
    });
  }
  kj::Promise<void> write(const void* buffer, const std::size_t size) override {
    m_counters.m_sent += size;
    return m_inner->write(buffer, size);
  }
  kj::Promise<void> write(const kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (const auto& piece : pieces) m_counters.m_sent += piece.size();
    return m_inner->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
  void shutdownWrite() override { m_inner->shutdownWrite(); }
  void abortRead() override { m_inner->abortRead(); }

 private:
  kj::Own<kj::AsyncIoStream> m_inner;
  ByteCounters& m_counters;
};

}  // namespace ebonypin::wire
