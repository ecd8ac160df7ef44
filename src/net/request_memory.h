// Limits the memory for incomplete requests over all client connections.
#ifndef ALDERSILL_SRC_NET_REQUEST_MEMORY_H_
#define ALDERSILL_SRC_NET_REQUEST_MEMORY_H_

#include <cstddef>

namespace aldersill {

class RequestMemory {
 public:
  // The bytes that one connection holds. The destructor gives them back. The RequestMemory must outlive it.
  class Reservation {
   public:
    explicit Reservation(RequestMemory* memory) : memory_(memory) {}
    ~Reservation() { Resize(0); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Counts `bytes` instead of what was counted before. Returns false if the total is then over the limit;
    // the bytes are counted all the same. Small requests are always allowed, as well-behaved clients send no
    // others.
    bool Resize(std::size_t bytes) {
      memory_->used_ += bytes - bytes_;
      bytes_ = bytes;
      return bytes <= kSmallRequestBytes || memory_->used_ <= memory_->limit_;
    }

   private:
    RequestMemory* memory_;
    std::size_t bytes_ = 0;
  };

  explicit RequestMemory(std::size_t limit) : limit_(limit) {}
  void set_limit(std::size_t limit) { limit_ = limit; }

 private:
  static constexpr std::size_t kSmallRequestBytes = 4'096;

  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_REQUEST_MEMORY_H_
