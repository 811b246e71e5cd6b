#include "foxquay/storage/frame.h"

#include <boost/crc.hpp>
#include <cstddef>

namespace foxquay::storage::internal {
namespace {

// Frame layout: magic, payload size, CRC (4 bytes each), batch offset (8
// bytes), all little-endian, then the payload. The CRC covers size, batch and
// payload.
constexpr std::string_view kMagic = "FXQ1";
constexpr std::size_t kSizeAt = 4;
constexpr std::size_t kCrcAt = 8;
constexpr std::size_t kBatchAt = 12;
constexpr std::size_t kHeaderBytes = 20;

template <class Number>
std::string ToBytes(Number number) {
  std::string bytes;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes += static_cast<char>((number >> (8 * i)) & 0xffU);
  }
  return bytes;
}

std::uint64_t FromBytes(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = bytes.size(); i > 0; --i) {
    number = number << 8U | static_cast<unsigned char>(bytes[i - 1]);
  }
  return number;
}

std::uint32_t Crc(std::string_view size_and_batch, std::string_view payload) {
  boost::crc_32_type crc;
  crc.process_bytes(size_and_batch.data(), size_and_batch.size());
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

struct Frame {
  std::string_view payload;
  std::uint64_t batch = 0;
};

std::optional<Frame> ReadFrame(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) return {};
  const std::uint64_t size = FromBytes(bytes.substr(kSizeAt, 4));
  if (size > bytes.size() - kHeaderBytes) return {};
  const Frame frame{bytes.substr(kHeaderBytes, size),
                    FromBytes(bytes.substr(kBatchAt, 8))};
  std::string covered(bytes.substr(kSizeAt, 4));
  covered += bytes.substr(kBatchAt, 8);
  const std::uint64_t expected = FromBytes(bytes.substr(kCrcAt, 4));
  if (Crc(covered, frame.payload) != expected) return {};
  return frame;
}

/// Returns whether the data at offset `end` had been synced: a later frame is
/// intact and its batch begins after `end`, and a batch is written only after
/// all data before it has been synced.
bool WasSynced(std::string_view bytes, std::size_t end) {
  std::size_t at = bytes.find(kMagic, end + 1);
  while (at != std::string_view::npos) {
    const auto frame = ReadFrame(bytes.substr(at));
    if (frame && frame->batch > end) return true;
    at = bytes.find(kMagic, at + 1);
  }
  return false;
}

}  // namespace

void AppendFrame(std::string& out, std::string_view payload,
                 std::uint64_t batch) {
  const std::string size = ToBytes(static_cast<std::uint32_t>(payload.size()));
  const std::string batch_bytes = ToBytes(batch);
  out += kMagic;
  out += size;
  out += ToBytes(Crc(size + batch_bytes, payload));
  out += batch_bytes;
  out += payload;
}

Frames ParseFrames(std::string_view bytes) {
  Frames frames;
  while (frames.valid_end < bytes.size()) {
    const auto frame = ReadFrame(bytes.substr(frames.valid_end));
    if (!frame) {
      frames.damaged = WasSynced(bytes, frames.valid_end);
      break;
    }
    frames.payloads.emplace_back(frame->payload);
    frames.valid_end += kHeaderBytes + frame->payload.size();
  }
  return frames;
}

}  // namespace foxquay::storage::internal
