#include "wire/packing.h"

#include <zlib.h>

#include <cstdint>

#include "common/result_code.h"

namespace pumicedyke::wire {
namespace {

constexpr char kPackedMarker = 1;
/// Compressing shorter texts is not worth the time.
constexpr size_t kMinPackedBytes = 512;
/// The maximum frame size.
constexpr size_t kMaxTextBytes = size_t{64} << 20;
/// The marker is followed by the length in four bytes, most significant first.
constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = 1 + kLengthBytes;
/// No compressed byte stands for more bytes than this.
constexpr size_t kMaxExpansion = 1032;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

std::string Header(size_t length) {
  std::string header(1, kPackedMarker);
  for (size_t i = 0; i < kLengthBytes; ++i) {
    const size_t shift = kBitsPerByte * (kLengthBytes - 1 - i);
    header.push_back(static_cast<char>((length >> shift) & kByteMask));
  }
  return header;
}

size_t LengthOf(std::string_view bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(bytes[1 + i]);
  }
  return length;
}

}  // namespace

std::string Pack(std::string_view text) {
  if (text.size() < kMinPackedBytes || text.size() > kMaxTextBytes) {
    return std::string(text);
  }
  std::string packed = Header(text.size());
  uLongf length = compressBound(text.size());
  packed.resize(kHeaderBytes + length);
  const int result =
      compress2(reinterpret_cast<Bytef*>(packed.data() + kHeaderBytes), &length,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  if (result != Z_OK || kHeaderBytes + length >= text.size()) {
    return std::string(text);
  }
  packed.resize(kHeaderBytes + length);
  return packed;
}

absl::StatusOr<std::string> Unpack(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kPackedMarker) {
    return std::string(bytes);
  }
  const size_t length = bytes.size() < kHeaderBytes ? kMaxTextBytes + 1 : LengthOf(bytes);
  // The length is allocated, so it must be one that the bytes can have.
  if (length > kMaxTextBytes || length > bytes.size() * kMaxExpansion) {
    return MakeStatus(ResultCode::kMalformedRequest, "packed bytes of a wrong length");
  }
  std::string text(length, '\0');
  uLongf unpacked = length;
  const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &unpacked,
                                reinterpret_cast<const Bytef*>(bytes.data() + kHeaderBytes),
                                bytes.size() - kHeaderBytes);
  if (result != Z_OK || unpacked != length) {
    return MakeStatus(ResultCode::kMalformedRequest, "packed bytes are broken");
  }
  return text;
}

}  // namespace pumicedyke::wire
