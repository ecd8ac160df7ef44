// What the codecs of instances' messages share: MessagePack arrays written and read field by field. Whatever
// surprises in bytes from outside is an exception here and "nothing" to the caller.
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

constexpr std::size_t kMostMessageItems = 512;  // of any list: a datagram holds fewer
constexpr std::size_t kMostMessageName = 64;    // of an instance, an address, a duty

class MessageFields {
 public:
  explicit MessageFields(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY)
      throw std::runtime_error("not an array");
    next_ = object.via.array.ptr;
    end_ = next_ + object.via.array.size;
  }
  const msgpack::object& Object() {
    if (next_ == end_)
      throw std::runtime_error("too few fields");
    return *next_++;
  }
  template <typename T>
  T Take() {
    return Object().as<T>();
  }
  std::string Name() {
    auto name = Take<std::string>();
    if (name.empty() || name.size() > kMostMessageName)
      throw std::runtime_error("not a name");
    return name;
  }
  // Of those that are counted on from: there must always be room for the next.
  std::uint64_t Number53() {
    const auto number = Take<std::uint64_t>();
    if (number >> 53 != 0)
      throw std::runtime_error("out of range");
    return number;
  }
  template <typename T, typename F>
  std::vector<T> List(F take) {
    const msgpack::object& object = Object();
    if (object.type != msgpack::type::ARRAY || object.via.array.size > kMostMessageItems)
      throw std::runtime_error("not a list");
    std::vector<T> items;
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
      MessageFields in(object.via.array.ptr[i]);
      items.push_back(take(in));
      in.End();
    }
    return items;
  }
  void End() const {
    if (next_ != end_)
      throw std::runtime_error("too many fields");
  }

 private:
  const msgpack::object* next_;
  const msgpack::object* end_;
};

template <typename F>
std::string PackMessage(F put) {
  msgpack::sbuffer buffer;
  MessagePacker out(buffer);
  put(out);
  return std::string(buffer.data(), buffer.size());
}

template <typename T, typename F>
std::optional<T> UnpackMessage(std::string_view bytes, F take) {
  try {
    std::size_t read = 0;
    const msgpack::unpack_limit limit(kMostMessageItems, 0, 65'536, 0, 0, 8);
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
