#include "fleet/control_request.h"

#include <sys/socket.h>
#include <sys/un.h>

#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace aldersill::fleet {

ControlRequest::ControlRequest(event_base* base, const std::string& socket, const std::string& command,
                               Callback done)
    : done_(std::move(done)),
      stream_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      connect_failed_(base, [this] { Finish(""); }) {
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  if (socket.size() >= sizeof(to.sun_path))
    throw std::runtime_error("control socket path " + socket + " is longer than " +
                             std::to_string(sizeof(to.sun_path) - 1) + " bytes");
  std::memcpy(to.sun_path, socket.c_str(), socket.size() + 1);
  if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    connect_failed_.Set(0);
    return;
  }
  // The callbacks are set only now, because a failed connect would have called them synchronously.
  bufferevent_setcb(stream_.get(), &ControlRequest::OnRead, nullptr, &ControlRequest::OnEvent, this);
  const std::string line = command + "\n";
  bufferevent_write(stream_.get(), line.data(), line.size());
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void ControlRequest::OnRead(bufferevent* stream, void* arg) {
  std::size_t size = 0;
  char* line = evbuffer_readln(bufferevent_get_input(stream), &size, EVBUFFER_EOL_LF);
  if (line == nullptr)
    return;
  std::string answer(line, size);
  std::free(line);
  static_cast<ControlRequest*>(arg)->Finish(answer);
}

void ControlRequest::OnEvent(bufferevent*, short what, void* arg) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    static_cast<ControlRequest*>(arg)->Finish("");
}

void ControlRequest::Finish(const std::string& answer) {
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  connect_failed_.Clear();
  const Callback done = std::exchange(done_, nullptr);
  if (done)
    done(answer);
}

}  // namespace aldersill::fleet
