// Shared by the codecs of wire messages: memory owned for outgoing nanopb structures, and readers
// of the pointer fields of incoming ones.
#pragma once

#include <pb.h>

#include <cstring>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke::wire {

// nanopb counts the bytes of one field in 16 bits, so longer values are sent in several pieces.
constexpr size_t kPieceBytes = 60000;

/// Owns the memory that the pointers of an outgoing nanopb structure refer to.
class Arena {
 public:
  char* String(const std::string& text) { return const_cast<char*>(text.c_str()); }

  pb_bytes_array_t** Pieces(std::string_view bytes, pb_size_t* count) {
    std::vector<pb_bytes_array_t*>& pieces = piece_lists_.emplace_back();
    for (size_t offset = 0; offset < bytes.size(); offset += kPieceBytes) {
      pieces.push_back(Piece(bytes.substr(offset, kPieceBytes)));
    }
    *count = static_cast<pb_size_t>(pieces.size());
    return pieces.data();
  }

  char** Strings(const std::vector<std::string>& texts, pb_size_t* count) {
    *count = static_cast<pb_size_t>(texts.size());
    char** list = Array<char*>(texts.size());
    for (size_t i = 0; i < texts.size(); ++i) {
      list[i] = String(texts[i]);
    }
    return list;
  }

  template <typename T>
  T* Array(size_t count) {
    auto storage = std::make_shared<std::vector<T>>(count);
    owned_.push_back(storage);
    return storage->data();
  }

 private:
  pb_bytes_array_t* Piece(std::string_view bytes) {
    std::unique_ptr<char[]>& buffer =
        buffers_.emplace_back(std::make_unique<char[]>(PB_BYTES_ARRAY_T_ALLOCSIZE(bytes.size())));
    auto* array = reinterpret_cast<pb_bytes_array_t*>(buffer.get());
    array->size = static_cast<pb_size_t>(bytes.size());
    std::memcpy(array->bytes, bytes.data(), bytes.size());
    return array;
  }

  std::deque<std::vector<pb_bytes_array_t*>> piece_lists_;
  std::deque<std::unique_ptr<char[]>> buffers_;
  std::vector<std::shared_ptr<void>> owned_;
};

inline std::string Text(const char* text) {
  return text == nullptr ? std::string() : std::string(text);
}

inline std::string Join(pb_bytes_array_t* const* pieces, pb_size_t count) {
  std::string bytes;
  for (pb_size_t i = 0; i < count; ++i) {
    bytes.append(reinterpret_cast<const char*>(pieces[i]->bytes), pieces[i]->size);
  }
  return bytes;
}

inline std::vector<std::string> Texts(char* const* texts, pb_size_t count) {
  std::vector<std::string> list;
  for (pb_size_t i = 0; i < count; ++i) {
    list.push_back(Text(texts[i]));
  }
  return list;
}

}  // namespace pumicedyke::wire
