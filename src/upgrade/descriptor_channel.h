// Passes messages with file descriptors between two processes on one machine. Each message travels over a
// Unix socket of type SOCK_SEQPACKET with its descriptors as SCM_RIGHTS, so it arrives complete or not at
// all.
#ifndef ALDERSILL_SRC_UPGRADE_DESCRIPTOR_CHANNEL_H_
#define ALDERSILL_SRC_UPGRADE_DESCRIPTOR_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/event_ptr.h"
#include "net/unique_descriptor.h"

namespace aldersill::upgrade {

class DescriptorSender {
 public:
  // Connects to the receiver that listens at `path`. Reports failure by connected().
  explicit DescriptorSender(const std::string& path);

  bool connected() const { return socket_.valid(); }
  // Sends a message with one or two descriptors, without blocking. False if nothing was sent. The caller
  // keeps its descriptors; the receiver gets duplicates, which the kernel holds until the message is read and
  // closes if the receiver ends before.
  bool Send(std::string_view message, const std::vector<int>& descriptors);

 private:
  UniqueDescriptor socket_;
};

class DescriptorReceiver {
 public:
  // Called for each message.
  using Received = std::function<void(std::string_view message, std::vector<UniqueDescriptor> descriptors)>;

  // Listens at `path`, for any number of senders. Throws std::runtime_error if it cannot.
  DescriptorReceiver(event_base* base, std::string path, Received received);
  // Removes the socket's file.
  ~DescriptorReceiver();
  DescriptorReceiver(const DescriptorReceiver&) = delete;
  DescriptorReceiver& operator=(const DescriptorReceiver&) = delete;

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  static void OnReadable(evutil_socket_t fd, short what, void* self);
  // False once the sender has closed its end, or after an error.
  bool ReceiveMessage(evutil_socket_t fd);

  event_base* base_;
  const std::string path_;
  const Received received_;
  EventPtr<evconnlistener> listener_;
  std::unordered_map<evutil_socket_t, EventPtr<event>> senders_;  // the read event of each connection
};

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_DESCRIPTOR_CHANNEL_H_
