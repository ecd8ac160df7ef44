#include "fleet/question.h"

#include <sys/socket.h>
#include <sys/un.h>

#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace aldersill::fleet {

Question::Question(event_base* base, const std::string& socket, const std::string& question, Done done)
    : done_(std::move(done)),
      stream_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      refused_(base, [this] { End(""); }) {
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  if (socket.size() >= sizeof(to.sun_path))
    throw std::runtime_error(socket + " is longer than a socket's path can be");
  std::memcpy(to.sun_path, socket.c_str(), socket.size() + 1);
  if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    refused_.Set(0);
    return;
  }
  // Only now: a refusal is told from within the call.
  bufferevent_setcb(stream_.get(), &Question::OnRead, nullptr, &Question::OnEvent, this);
  const std::string line = question + "\n";
  bufferevent_write(stream_.get(), line.data(), line.size());
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void Question::OnRead(bufferevent* stream, void* arg) {
  std::size_t size = 0;
  char* line = evbuffer_readln(bufferevent_get_input(stream), &size, EVBUFFER_EOL_LF);
  if (line == nullptr)
    return;
  std::string answer(line, size);
  std::free(line);
  static_cast<Question*>(arg)->End(std::move(answer));
}

void Question::OnEvent(bufferevent*, short what, void* arg) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    static_cast<Question*>(arg)->End("");
}

void Question::End(std::string answer) {
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  refused_.Clear();
  const Done done = std::exchange(done_, nullptr);
  if (done)
    done(answer);
}

}  // namespace aldersill::fleet
