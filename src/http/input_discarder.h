// Discards all that a peer still sends, so that its end is seen and nothing is stored.
#ifndef ALDERSILL_SRC_HTTP_INPUT_DISCARDER_H_
#define ALDERSILL_SRC_HTTP_INPUT_DISCARDER_H_

#include <cstddef>
#include <functional>

#include "net/event_ptr.h"

namespace aldersill {

class InputDiscarder {
 public:
  enum class End {
    kClosedByPeer,  // the peer sends no more; it may still read
    kBroken,        // reset, or more bytes than any honest peer sends
  };

  // `fd` stays the caller's and must be open until Stop or the destructor. `ended` may destroy this object.
  InputDiscarder(event_base* base, std::function<void(End)> ended) : base_(base), ended_(std::move(ended)) {}

  void Start(evutil_socket_t fd);
  void Stop() { readable_.reset(); }
  bool active() const { return readable_ != nullptr; }

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* self);
  void Discard(evutil_socket_t fd);

  event_base* base_;
  std::function<void(End)> ended_;
  EventPtr<event> readable_;
  std::size_t discarded_bytes_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_INPUT_DISCARDER_H_
