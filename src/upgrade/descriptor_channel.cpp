#include "upgrade/descriptor_channel.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "net/event_ptr.h"
#include "net/unix_address.h"

namespace aldersill::upgrade {
namespace {

constexpr std::size_t kMaxDescriptors = 2;
// Large enough for a request's body of 64 KiB, its head, and the part of the response received so far.
constexpr std::size_t kMaxMessageBytes = std::size_t{256} << 10;
constexpr int kSocketType = SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC;
constexpr int kBacklog = 8;

// Buffer for the control message that carries the descriptors.
struct alignas(cmsghdr) ControlBuffer {
  std::array<char, CMSG_SPACE(kMaxDescriptors * sizeof(int))> bytes{};
};

std::vector<UniqueDescriptor> TakeDescriptors(msghdr* header) {
  std::vector<UniqueDescriptor> descriptors;
  for (cmsghdr* control = CMSG_FIRSTHDR(header); control != nullptr; control = CMSG_NXTHDR(header, control)) {
    if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS)
      continue;
    const std::size_t count = (control->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(control) + i * sizeof(int), sizeof(int));
      descriptors.emplace_back(fd);
    }
  }
  return descriptors;
}

}  // namespace

DescriptorSender::DescriptorSender(const std::string& path) {
  const auto address = MakeUnixAddress(path);
  if (!address)
    return;
  socket_ = UniqueDescriptor(socket(AF_UNIX, kSocketType, 0));
  const int buffer_bytes = static_cast<int>(2 * kMaxMessageBytes);
  setsockopt(socket_.get(), SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof(buffer_bytes));
  if (connect(socket_.get(), ToGenericAddress(*address), sizeof(*address)) != 0)
    socket_.Reset();
}

bool DescriptorSender::Send(std::string_view message, const std::vector<int>& descriptors) {
  if (!connected() || descriptors.empty() || descriptors.size() > kMaxDescriptors ||
      message.size() > kMaxMessageBytes)
    return false;
  const std::size_t descriptor_bytes = descriptors.size() * sizeof(int);
  ControlBuffer control;
  iovec text{const_cast<char*>(message.data()), message.size()};
  msghdr header{};
  header.msg_iov = &text;
  header.msg_iovlen = 1;
  header.msg_control = control.bytes.data();
  header.msg_controllen = CMSG_SPACE(descriptor_bytes);
  cmsghdr* rights = CMSG_FIRSTHDR(&header);
  rights->cmsg_level = SOL_SOCKET;
  rights->cmsg_type = SCM_RIGHTS;
  rights->cmsg_len = CMSG_LEN(descriptor_bytes);
  std::memcpy(CMSG_DATA(rights), descriptors.data(), descriptor_bytes);
  return sendmsg(socket_.get(), &header, MSG_NOSIGNAL) == static_cast<ssize_t>(message.size());
}

DescriptorReceiver::DescriptorReceiver(event_base* base, std::string path, MessageHandler handle_message)
    : base_(base), path_(std::move(path)), handle_message_(std::move(handle_message)) {
  const auto address = MakeUnixAddress(path_);
  if (!address)
    throw std::runtime_error(path_ + " is too long for a Unix socket (at most 107 bytes)");
  UniqueDescriptor listening(socket(AF_UNIX, kSocketType, 0));
  if (!listening.valid() || bind(listening.get(), ToGenericAddress(*address), sizeof(*address)) != 0)
    throw std::runtime_error("cannot listen on " + path_ + ": " + std::strerror(errno));
  listener_.reset(evconnlistener_new(base, &DescriptorReceiver::OnAccept, this, LEV_OPT_CLOSE_ON_FREE,
                                     kBacklog, listening.get()));
  if (listener_ == nullptr)
    throw std::runtime_error("cannot listen on " + path_);
  listening.Release();  // the listener owns the descriptor
}

DescriptorReceiver::~DescriptorReceiver() {
  for (auto& [fd, read_event] : senders_) {
    read_event.reset();
    close(fd);
  }
  unlink(path_.c_str());
}

void DescriptorReceiver::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* receiver = static_cast<DescriptorReceiver*>(self);
  EventPtr<event> read_event(
      event_new(receiver->base_, fd, EV_READ | EV_PERSIST, &DescriptorReceiver::OnReadable, receiver));
  event_add(read_event.get(), nullptr);
  receiver->senders_.emplace(fd, std::move(read_event));
}

void DescriptorReceiver::OnReadable(evutil_socket_t fd, short, void* self) {
  auto* receiver = static_cast<DescriptorReceiver*>(self);
  if (receiver->ReceiveMessage(fd))
    return;
  receiver->senders_.erase(fd);
  close(fd);
}

bool DescriptorReceiver::ReceiveMessage(evutil_socket_t fd) {
  ControlBuffer control;
  std::string message(kMaxMessageBytes, '\0');
  iovec text{message.data(), message.size()};
  msghdr header{};
  header.msg_iov = &text;
  header.msg_iovlen = 1;
  header.msg_control = control.bytes.data();
  header.msg_controllen = control.bytes.size();
  const ssize_t size = recvmsg(fd, &header, MSG_CMSG_CLOEXEC);
  if (size < 0)
    return errno == EAGAIN || errno == EINTR;
  if (size == 0)
    return false;
  handle_message_(std::string_view(message).substr(0, static_cast<std::size_t>(size)),
                  TakeDescriptors(&header));
  return true;
}

}  // namespace aldersill::upgrade
