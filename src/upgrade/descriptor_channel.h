// Sends messages with file descriptors from one process to another on the same machine. The channel is a Unix
// socket of type SOCK_SEQPACKET, and the descriptors are sent as SCM_RIGHTS, so a message arrives complete or
// not at all.
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
  // Connects to the receiver that listens at `path`. If that fails, connected() returns false.
  explicit DescriptorSender(const std::string& path);

  bool connected() const { return socket_.valid(); }
  // Sends a message with one or two descriptors, without blocking. Returns false if nothing was sent. The
  // caller keeps its descriptors and the receiver gets duplicates. The kernel holds these until the message
  // is read, and closes them if the receiver exits before that.
  bool Send(std::string_view message, const std::vector<int>& descriptors);

 private:
  UniqueDescriptor socket_;
};

class DescriptorReceiver {
 public:
  // Called once for each message; takes ownership of its descriptors.
  using MessageHandler =
      std::function<void(std::string_view message, std::vector<UniqueDescriptor> descriptors)>;

  // Listens at `path` for any number of senders. Throws std::runtime_error if it cannot listen there.
  DescriptorReceiver(event_base* base, std::string path, MessageHandler handle_message);
  // Closes all connections and removes the socket's file.
  ~DescriptorReceiver();
  DescriptorReceiver(const DescriptorReceiver&) = delete;
  DescriptorReceiver& operator=(const DescriptorReceiver&) = delete;

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  static void OnReadable(evutil_socket_t fd, short what, void* self);
  // Returns false once the sender has closed its end, or after an error.
  bool ReceiveMessage(evutil_socket_t fd);

  event_base* base_;
  const std::string path_;
  const MessageHandler handle_message_;
  EventPtr<evconnlistener> listener_;
  std::unordered_map<evutil_socket_t, EventPtr<event>> senders_;  // read events by descriptor
};

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_DESCRIPTOR_CHANNEL_H_
