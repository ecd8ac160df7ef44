// Messages with descriptors from one process to another on the same machine, over a Unix socket.
#ifndef ALDERSILL_SRC_UPGRADE_DESCRIPTOR_CHANNEL_H_
#define ALDERSILL_SRC_UPGRADE_DESCRIPTOR_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/event_loop.h"

namespace aldersill::upgrade {

class DescriptorSender {
 public:
  explicit DescriptorSender(const std::string& path);
  ~DescriptorSender();
  DescriptorSender(const DescriptorSender&) = delete;
  DescriptorSender& operator=(const DescriptorSender&) = delete;

  bool connected() const { return fd_ >= 0; }
  // False where nothing was sent. The descriptors stay open here; the other process gets its own.
  bool Send(std::string_view message, const std::vector<int>& descriptors);

 private:
  int fd_ = -1;
};

class DescriptorReceiver {
 public:
  // Owns the descriptors from there on.
  using Received = std::function<void(std::string_view message, std::vector<int> descriptors)>;

  // Throws std::runtime_error if it cannot listen at `path`.
  DescriptorReceiver(event_base* base, const std::string& path, Received received);
  ~DescriptorReceiver();
  DescriptorReceiver(const DescriptorReceiver&) = delete;
  DescriptorReceiver& operator=(const DescriptorReceiver&) = delete;

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  static void OnReadable(evutil_socket_t fd, short what, void* self);
  // False at the sender's end.
  bool ReceiveOne(evutil_socket_t fd);

  event_base* base_;
  const std::string path_;
  const Received received_;
  EventPtr<evconnlistener> listener_;
  std::unordered_map<evutil_socket_t, EventPtr<event>> senders_;
};

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_DESCRIPTOR_CHANNEL_H_
