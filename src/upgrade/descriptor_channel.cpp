#include "upgrade/descriptor_channel.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

namespace aldersill::upgrade {
namespace {

constexpr std::size_t kMostDescriptors = 2;
constexpr std::size_t kMostMessage = 256 * 1024;  // a body of 64 KiB, a head, and an answer's beginning
constexpr int kKinds = SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC;

using ControlBuffer = std::array<char, CMSG_SPACE(kMostDescriptors * sizeof(int))>;

std::optional<sockaddr_un> AddressOf(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof(address.sun_path))
    return std::nullopt;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return address;
}

std::vector<int> DescriptorsOf(msghdr* header) {
  std::vector<int> descriptors;
  for (cmsghdr* c = CMSG_FIRSTHDR(header); c != nullptr; c = CMSG_NXTHDR(header, c)) {
    if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS)
      continue;
    descriptors.resize((c->cmsg_len - CMSG_LEN(0)) / sizeof(int));
    std::memcpy(descriptors.data(), CMSG_DATA(c), descriptors.size() * sizeof(int));
  }
  return descriptors;
}

}  // namespace

DescriptorSender::DescriptorSender(const std::string& path) {
  const auto address = AddressOf(path);
  if (!address)
    return;
  fd_ = socket(AF_UNIX, kKinds, 0);
  const int size = static_cast<int>(2 * kMostMessage);
  setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0)
    close(std::exchange(fd_, -1));
}

DescriptorSender::~DescriptorSender() {
  if (fd_ >= 0)
    close(fd_);
}

bool DescriptorSender::Send(std::string_view message, const std::vector<int>& descriptors) {
  if (fd_ < 0 || descriptors.empty() || descriptors.size() > kMostDescriptors ||
      message.size() > kMostMessage)
    return false;
  alignas(cmsghdr) ControlBuffer control{};
  iovec text{const_cast<char*>(message.data()), message.size()};
  msghdr header{};
  header.msg_iov = &text;
  header.msg_iovlen = 1;
  header.msg_control = control.data();
  header.msg_controllen = CMSG_SPACE(descriptors.size() * sizeof(int));
  cmsghdr* rights = CMSG_FIRSTHDR(&header);
  rights->cmsg_level = SOL_SOCKET;
  rights->cmsg_type = SCM_RIGHTS;
  rights->cmsg_len = CMSG_LEN(descriptors.size() * sizeof(int));
  std::memcpy(CMSG_DATA(rights), descriptors.data(), descriptors.size() * sizeof(int));
  return sendmsg(fd_, &header, MSG_NOSIGNAL) == static_cast<ssize_t>(message.size());
}

DescriptorReceiver::DescriptorReceiver(event_base* base, const std::string& path, Received received)
    : base_(base), path_(path), received_(std::move(received)) {
  const auto address = AddressOf(path);
  if (!address)
    throw std::runtime_error(path + " is longer than a socket's path can be");
  const int fd = socket(AF_UNIX, kKinds, 0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0) {
    const std::string why = std::strerror(errno);
    if (fd >= 0)
      close(fd);
    throw std::runtime_error("cannot listen on " + path + ": " + why);
  }
  listener_.reset(
      evconnlistener_new(base, &DescriptorReceiver::OnAccept, this, LEV_OPT_CLOSE_ON_FREE, 8, fd));
  if (listener_ == nullptr)
    throw std::runtime_error("cannot listen on " + path);
}

DescriptorReceiver::~DescriptorReceiver() {
  for (auto& [fd, reads] : senders_) {
    reads.reset();
    close(fd);
  }
  unlink(path_.c_str());
}

void DescriptorReceiver::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* receiver = static_cast<DescriptorReceiver*>(self);
  EventPtr<event> reads(
      event_new(receiver->base_, fd, EV_READ | EV_PERSIST, &DescriptorReceiver::OnReadable, receiver));
  event_add(reads.get(), nullptr);
  receiver->senders_.emplace(fd, std::move(reads));
}

void DescriptorReceiver::OnReadable(evutil_socket_t fd, short, void* self) {
  auto* receiver = static_cast<DescriptorReceiver*>(self);
  if (receiver->ReceiveOne(fd))
    return;
  receiver->senders_.erase(fd);
  close(fd);
}

bool DescriptorReceiver::ReceiveOne(evutil_socket_t fd) {
  alignas(cmsghdr) ControlBuffer control{};
  std::string message(kMostMessage, '\0');
  iovec text{message.data(), message.size()};
  msghdr header{};
  header.msg_iov = &text;
  header.msg_iovlen = 1;
  header.msg_control = control.data();
  header.msg_controllen = control.size();
  const ssize_t size = recvmsg(fd, &header, MSG_CMSG_CLOEXEC);
  if (size < 0)
    return errno == EAGAIN || errno == EINTR;
  if (size == 0)
    return false;
  received_(std::string_view(message).substr(0, static_cast<std::size_t>(size)), DescriptorsOf(&header));
  return true;
}

}  // namespace aldersill::upgrade
