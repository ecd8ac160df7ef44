// Sends one command to a dispatcher's control socket. It works asynchronously on the rig's event loop, so
// that a paused dispatcher does not block the rig.
#ifndef ALDERSILL_TESTS_FLEET_CONTROL_REQUEST_H_
#define ALDERSILL_TESTS_FLEET_CONTROL_REQUEST_H_

#include <functional>
#include <string>

#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

class ControlRequest {
 public:
  // `done` is called once, with the first line of the answer, or with an empty string if the connection
  // failed or ended before that. It may destroy the request. The constructor throws std::runtime_error if
  // `socket` is too long a path.
  using Callback = std::function<void(const std::string& answer)>;
  ControlRequest(event_base* base, const std::string& socket, const std::string& command, Callback done);

 private:
  static void OnRead(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short what, void* self);
  void Finish(const std::string& answer);

  Callback done_;
  EventPtr<bufferevent> stream_;
  Timer connect_failed_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_CONTROL_REQUEST_H_
