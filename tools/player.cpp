#include "player.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace aldersill::tools {
namespace {

[[noreturn]] void Throw(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

// Where `{*}` in the pattern stands for anything within one line; npos if it doesn't match at the start of
// `text`, else how much of the text it takes.
std::size_t Match(const std::string& pattern, const std::string& text, bool* needs_more) {
  std::size_t at = 0;
  std::size_t p = 0;
  *needs_more = false;
  while (p < pattern.size()) {
    if (pattern.compare(p, 3, "{*}") != 0) {
      if (at == text.size()) {
        *needs_more = true;
        return std::string::npos;
      }
      if (pattern[p++] != text[at++])
        return std::string::npos;
      continue;
    }
    p += 3;
    const std::size_t next = pattern.find("{*}", p);
    const std::string until = pattern.substr(p, std::min(next, pattern.find('\n', p) + 1) - p);
    const std::size_t line_end = text.find('\n', at);
    const std::size_t found = text.find(until, at);
    if (found == std::string::npos || found > line_end) {
      *needs_more = line_end == std::string::npos;
      return std::string::npos;
    }
    at = found;
  }
  return at;
}

std::string Quote(const std::string& text) {
  std::string lines = "    | ";
  for (const char c : text) {
    if (c == '\r')
      continue;
    lines += c == '\n' ? std::string("\n    | ") : std::string(1, c);
  }
  return lines + "\n";
}

}  // namespace

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = other.Release();
  }
  return *this;
}
void Socket::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}
int Socket::Release() { return std::exchange(fd_, -1); }

Socket ListenOn(std::uint16_t port) {
  Socket s(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(s.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(s.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    Throw("bind");
  if (listen(s.fd(), 64) != 0)
    Throw("listen");
  return s;
}

Socket ConnectTo(std::uint16_t port) {
  Socket s(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (connect(s.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    Throw("connect");
  const int on = 1;
  setsockopt(s.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return s;
}

std::uint16_t PortOf(const Socket& s) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(s.fd(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    Throw("getsockname");
  return ntohs(address.sin_port);
}

std::uint16_t Player::Listen(const std::string& name, std::uint16_t port) {
  Socket listener = ListenOn(port);
  const std::uint16_t bound = PortOf(listener);
  listeners_[name] = std::move(listener);
  return bound;
}

std::vector<Player::Step> Player::Parse(const std::string& text) {
  std::vector<Step> steps;
  std::istringstream lines(text);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.starts_with("|")) {
      if (steps.empty())
        throw std::runtime_error("line " + std::to_string(number) + ": a block without a step");
      const bool whole = !line.starts_with("|-");  // `|-` ends without an end of line
      const std::size_t begin = whole ? 1 : 2;
      std::string part = line.substr(line.size() > begin && line[begin] == ' ' ? begin + 1 : begin);
      // `\n` writes a bare line feed: the platform's JSON lines end so, HTTP's and RESP's with CR LF.
      for (std::size_t at; (at = part.find("\\n")) != std::string::npos;)
        part.replace(at, 2, 1, '\n');
      steps.back().block += part + (whole ? "\r\n" : "");
      continue;
    }
    Step step{number, {}, ""};
    std::istringstream words(line.substr(0, line.find('#')));
    for (std::string word; words >> word;)
      step.words.push_back(word);
    if (!step.words.empty())
      steps.push_back(std::move(step));
  }
  return steps;
}

std::string Player::Play(const std::string& text) {
  std::vector<Step> steps;
  try {
    steps = Parse(text);
  } catch (const std::exception& e) {
    return e.what();
  }
  for (const Step& step : steps) {
    std::string differs;
    try {
      differs = Perform(step);
    } catch (const std::exception& e) {
      differs = e.what();
    }
    if (!differs.empty())
      return "line " + std::to_string(step.line) + ": " + differs;
  }
  return "";
}

// Puts in `{length}` (of what follows the first empty line) and `{NAME}`, a listener's address.
std::string Player::Fill(const std::string& block) const {
  std::string text = block;
  const auto put = [&text](const std::string& name, const std::string& value) {
    const std::string slot = std::string("{").append(name).append("}");
    for (std::size_t at; (at = text.find(slot)) != std::string::npos;)
      text.replace(at, slot.size(), value);
  };
  for (const auto& [name, listener] : listeners_)
    put(name, "127.0.0.1:" + std::to_string(PortOf(listener)));
  for (const auto& [name, port] : daemon_listeners_)
    put(name, "127.0.0.1:" + std::to_string(port));
  const std::size_t empty = text.find("\r\n\r\n");
  put("length", std::to_string(empty == std::string::npos ? 0 : text.size() - empty - 4));
  return text;
}

std::string Player::Perform(const Step& step) {
  const std::vector<std::string>& w = step.words;
  const std::string& verb = w[0];
  if (verb == "config")
    return "";  // for whoever starts the daemon
  if (w.size() < 2)
    return verb + " needs a name";
  if (verb == "listen") {
    if (!listeners_.contains(w[1]))
      Listen(w[1], w.size() > 2 ? static_cast<std::uint16_t>(std::stoi(w[2])) : 0);
    return "";
  }
  if (verb == "connect") {
    const auto listener = daemon_listeners_.find(w.size() > 2 ? w[2] : w[1]);
    if (listener == daemon_listeners_.end())
      return "no door of that name";
    peers_[w[1]] = Peer{ConnectTo(listener->second), ""};
    return "";
  }
  if (verb == "accept") {
    if (w.size() < 3 || !listeners_.contains(w[2]))
      return "accept NAME LISTENER";
    pollfd waits{listeners_.at(w[2]).fd(), POLLIN, 0};
    if (poll(&waits, 1, timeout_ms_) != 1)
      return "nobody connected to " + w[2];
    peers_[w[1]] = Peer{Socket(accept4(waits.fd, nullptr, nullptr, SOCK_CLOEXEC)), ""};
    return "";
  }
  if (verb == "stop-listening") {
    listeners_.erase(w[1]);
    return "";
  }
  const auto found = peers_.find(w[1]);
  if (found == peers_.end())
    return "nobody here is called " + w[1];
  Peer* peer = &found->second;
  if (verb == "send") {
    const std::string text = Fill(step.block);
    for (std::size_t sent = 0; sent < text.size();) {
      const ssize_t n = send(peer->socket.fd(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n < 0)
        return std::string("cannot send: ") + std::strerror(errno);
      sent += static_cast<std::size_t>(n);
    }
    return "";
  }
  if (verb == "expect")
    return Expect(peer, Fill(step.block));
  if (verb == "expect-end")
    return ExpectEnd(peer);
  if (verb == "close") {
    peers_.erase(found);
    return "";
  }
  if (verb == "reset") {  // as a process that dies does
    const linger now{1, 0};
    setsockopt(peer->socket.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    peers_.erase(found);
    return "";
  }
  return "no such step: " + verb;
}

bool Player::ReadMore(Peer* peer, bool* ended) {
  pollfd waits{peer->socket.fd(), POLLIN, 0};
  *ended = false;
  if (poll(&waits, 1, timeout_ms_) != 1)
    return false;
  char buffer[16 * 1024];
  const ssize_t n = recv(peer->socket.fd(), buffer, sizeof(buffer), 0);
  *ended = n <= 0;
  if (n > 0)
    peer->unread.append(buffer, static_cast<std::size_t>(n));
  return n > 0;
}

std::string Player::Expect(Peer* peer, const std::string& wanted) {
  while (true) {
    bool needs_more = false;
    const std::size_t took = Match(wanted, peer->unread, &needs_more);
    if (took != std::string::npos) {
      peer->unread.erase(0, took);
      return "";
    }
    bool ended = false;
    if (needs_more && ReadMore(peer, &ended))
      continue;
    return std::string(ended        ? "the connection ended"
                       : needs_more ? "nothing more came"
                                    : "it differs") +
           "; wanted:\n" + Quote(wanted) + "  had:\n" + Quote(peer->unread);
  }
}

std::string Player::ExpectEnd(Peer* peer) {
  bool ended = false;
  while (peer->unread.empty() && ReadMore(peer, &ended)) {
  }
  if (!peer->unread.empty())
    return "wanted the connection's end, had:\n" + Quote(peer->unread);
  return ended ? "" : "the connection stayed open";
}

}  // namespace aldersill::tools
