// Helpers for the codecs of the messages between instances, which are MessagePack arrays written and read
// field by field. Unexpected input throws while a message is read; UnpackMessage then returns nothing.
#ifndef ALDERSILL_SRC_NET_MESSAGE_PACK_H_
#define ALDERSILL_SRC_NET_MESSAGE_PACK_H_

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace aldersill {

using MessagePacker = msgpack::packer<msgpack::sbuffer>;

constexpr std::size_t kMaxMessageItems = 512;     // bound on each list; a datagram contains fewer items
constexpr std::size_t kMaxMessageNameBytes = 64;  // names of instances and duties, and addresses

// Reads the fields of a MessagePack array in order. The constructor throws if the object is not an array;
// each Take function throws if the next field is missing or does not have the expected type and range.
class MessageFields {
 public:
  explicit MessageFields(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY)
      throw std::runtime_error("expected an array");
    next_ = object.via.array.ptr;
    end_ = next_ + object.via.array.size;
  }
  const msgpack::object& TakeObject() {
    if (next_ == end_)
      throw std::runtime_error("too few fields");
    return *next_++;
  }
  template <typename T>
  T Take() {
    return TakeObject().as<T>();
  }
  std::string TakeName() {
    auto name = Take<std::string>();
    if (name.empty() || name.size() > kMaxMessageNameBytes)
      throw std::runtime_error("expected a name of 1 to 64 bytes");
    return name;
  }
  // Takes an integer below 2^53. The receiver may count on from it, so the type must have room for more.
  std::uint64_t TakeUint53() {
    const auto number = Take<std::uint64_t>();
    if (number >> 53 != 0)
      throw std::runtime_error("expected an integer below 2^53");
    return number;
  }
  // Takes an array whose items are arrays. `take` reads one item from its fields, and must read all of them.
  template <typename T, typename F>
  std::vector<T> TakeList(F take) {
    const msgpack::object& object = TakeObject();
    if (object.type != msgpack::type::ARRAY || object.via.array.size > kMaxMessageItems)
      throw std::runtime_error("expected an array of at most 512 items");
    std::vector<T> items;
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
      MessageFields in(object.via.array.ptr[i]);
      items.push_back(take(in));
      in.ExpectEnd();
    }
    return items;
  }
  // Throws if fields are left.
  void ExpectEnd() const {
    if (next_ != end_)
      throw std::runtime_error("too many fields");
  }

 private:
  const msgpack::object* next_;
  const msgpack::object* end_;
};

// Returns the bytes that `put` writes to a MessagePacker.
template <typename F>
std::string PackMessage(F put) {
  msgpack::sbuffer buffer;
  MessagePacker out(buffer);
  put(out);
  return std::string(buffer.data(), buffer.size());
}

// Decodes one MessagePack object and returns what `take` reads from it. Returns nothing if the bytes are not
// exactly one object within the limits, or if `take` throws.
template <typename T, typename F>
std::optional<T> UnpackMessage(std::string_view bytes, F take) {
  try {
    std::size_t read = 0;
    // Array items, map entries, string bytes, binary bytes, extension bytes, depth.
    const msgpack::unpack_limit limit(kMaxMessageItems, 0, 65'536, 0, 0, 8);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), read, nullptr, nullptr, limit);
    if (read != bytes.size())
      return std::nullopt;
    return take(handle.get());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_MESSAGE_PACK_H_
