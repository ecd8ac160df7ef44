// Discards everything that a peer still sends: its close is noticed, and no input is stored.
#ifndef ALDERSILL_SRC_NET_INPUT_DISCARDER_H_
#define ALDERSILL_SRC_NET_INPUT_DISCARDER_H_

#include <cstddef>
#include <functional>

#include "net/event_ptr.h"

namespace aldersill {

class InputDiscarder {
 public:
  enum class End {
    kClosedByPeer,  // the peer sends no more; it may still read
    kFailed,        // the peer reset the connection, or has sent more than a well-behaved one ever does
  };

  // `on_end` is called when the input has ended. It may destroy this object.
  InputDiscarder(event_base* base, std::function<void(End)> on_end)
      : base_(base), on_end_(std::move(on_end)) {}

  // The caller keeps the ownership of `fd`, which must stay open until Stop or the destructor.
  void Start(evutil_socket_t fd);
  void Stop() { readable_.reset(); }
  bool active() const { return readable_ != nullptr; }

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* self);
  void Discard(evutil_socket_t fd);

  event_base* base_;
  std::function<void(End)> on_end_;
  EventPtr<event> readable_;
  std::size_t discarded_bytes_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_INPUT_DISCARDER_H_
