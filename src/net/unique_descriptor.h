// A file descriptor that is closed by its owner's destructor.
#ifndef ALDERSILL_SRC_NET_UNIQUE_DESCRIPTOR_H_
#define ALDERSILL_SRC_NET_UNIQUE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace aldersill {

class UniqueDescriptor {
 public:
  UniqueDescriptor() = default;
  // Takes ownership of `fd`, unless it is negative, as after a call that failed.
  explicit UniqueDescriptor(int fd) : fd_(fd) {}
  ~UniqueDescriptor() { Reset(); }
  UniqueDescriptor(UniqueDescriptor&& other) noexcept : fd_(other.Release()) {}
  UniqueDescriptor& operator=(UniqueDescriptor&& other) noexcept {
    if (this != &other) {
      Reset();
      fd_ = other.Release();
    }
    return *this;
  }

  bool valid() const { return fd_ >= 0; }
  int get() const { return fd_; }
  // Gives up ownership.
  int Release() { return std::exchange(fd_, -1); }
  void Reset() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }

 private:
  int fd_ = -1;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_UNIQUE_DESCRIPTOR_H_
