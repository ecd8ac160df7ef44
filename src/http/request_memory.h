// Memory for incomplete requests, shared by all client connections.
#ifndef ALDERSILL_SRC_HTTP_REQUEST_MEMORY_H_
#define ALDERSILL_SRC_HTTP_REQUEST_MEMORY_H_

#include <cstddef>

namespace aldersill {

class RequestMemory {
 public:
  // What one connection holds; returned at its end. The memory must outlive it.
  class Reservation {
   public:
    explicit Reservation(RequestMemory* memory) : memory_(memory) {}
    ~Reservation() { Resize(0); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Counts `bytes` in place of what was counted before. False if that is over the limit; the bytes of small
    // requests are always allowed, as usual clients send no others.
    bool Resize(std::size_t bytes) {
      memory_->used_ += bytes - bytes_;
      bytes_ = bytes;
      return bytes <= kSmallRequest || memory_->used_ <= memory_->limit_;
    }

   private:
    RequestMemory* memory_;
    std::size_t bytes_ = 0;
  };

  explicit RequestMemory(std::size_t limit) : limit_(limit) {}
  void set_limit(std::size_t limit) { limit_ = limit; }

 private:
  static constexpr std::size_t kSmallRequest = 4'096;

  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_REQUEST_MEMORY_H_
