#include "player.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <exception>
#include <utility>

namespace aldersill::tools {
namespace {

// The text's lines as a report shows them.
std::string Quote(const std::string& text) {
  std::string lines = "    | ";
  for (const char c : text) {
    if (c == '\r')
      continue;
    lines += c == '\n' ? std::string("\n    | ") : std::string(1, c);
  }
  return lines + "\n";
}

void ReplaceAll(std::string* text, const std::string& name, const std::string& value) {
  const std::string placeholder = "{" + name + "}";
  for (std::size_t at; (at = text->find(placeholder)) != std::string::npos;)
    text->replace(at, placeholder.size(), value);
}

std::string Address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

std::uint16_t Player::Listen(const std::string& name, std::uint16_t port) {
  Socket listener = ListenOn(port);
  const std::uint16_t bound = PortOf(listener);
  listeners_[name] = std::move(listener);
  return bound;
}

std::string Player::Play(const std::string& text) {
  std::vector<ExchangeStep> steps;
  try {
    steps = ParseExchange(text);
  } catch (const std::exception& error) {
    return error.what();
  }
  for (const ExchangeStep& step : steps) {
    std::string difference;
    try {
      difference = Perform(step);
    } catch (const std::exception& error) {
      difference = error.what();
    }
    if (!difference.empty())
      return "line " + std::to_string(step.line) + ": " + difference;
  }
  return "";
}

// Replaces `{NAME}` by the address of the listener of that name, and `{length}` by the length of what follows
// the first empty line.
std::string Player::Expand(const std::string& block) const {
  std::string text = block;
  for (const auto& [name, listener] : listeners_)
    ReplaceAll(&text, name, Address(PortOf(listener)));
  for (const auto& [name, port] : daemon_listeners_)
    ReplaceAll(&text, name, Address(port));
  const std::size_t empty_line = text.find("\r\n\r\n");
  const std::size_t length = empty_line == std::string::npos ? 0 : text.size() - empty_line - 4;
  ReplaceAll(&text, "length", std::to_string(length));
  return text;
}

std::string Player::Perform(const ExchangeStep& step) {
  const std::vector<std::string>& words = step.words;
  const std::string& verb = words[0];
  if (verb == "config")
    return "";  // read by the test that starts the daemon
  if (words.size() < 2)
    return verb + " needs a name";
  const std::string& name = words[1];
  if (verb == "listen") {
    if (!listeners_.contains(name))
      Listen(name, words.size() > 2 ? static_cast<std::uint16_t>(std::stoi(words[2])) : 0);
    return "";
  }
  if (verb == "connect")
    return Connect(name, words.size() > 2 ? words[2] : name);
  if (verb == "accept")
    return words.size() > 2 ? Accept(name, words[2]) : "expected: accept NAME LISTENER";
  if (verb == "stop-listening") {
    listeners_.erase(name);
    return "";
  }
  return PerformOnPeer(step);
}

std::string Player::PerformOnPeer(const ExchangeStep& step) {
  const std::string& verb = step.words[0];
  const std::string& name = step.words[1];
  const auto found = peers_.find(name);
  if (found == peers_.end())
    return "no connection is called " + name;
  Peer* peer = &found->second;
  if (verb == "send")
    return Send(*peer, Expand(step.block));
  if (verb == "expect")
    return Expect(peer, Expand(step.block));
  if (verb == "expect-end")
    return ExpectEnd(peer);
  if (verb == "close" || verb == "reset")
    return Remove(name, verb == "reset");
  return "no such step: " + verb;
}

std::string Player::Connect(const std::string& name, const std::string& listener) {
  const auto found = daemon_listeners_.find(listener);
  if (found == daemon_listeners_.end())
    return "the daemon has no listener " + listener;
  peers_[name] = Peer{ConnectTo(found->second), ""};
  return "";
}

std::string Player::Accept(const std::string& name, const std::string& listener) {
  const auto found = listeners_.find(listener);
  if (found == listeners_.end())
    return "no listener is called " + listener;
  pollfd ready{found->second.fd(), POLLIN, 0};
  if (poll(&ready, 1, timeout_ms_) != 1)
    return "no connection to " + listener + " within " + std::to_string(timeout_ms_) + " ms";
  peers_[name] = Peer{Socket(accept4(ready.fd, nullptr, nullptr, SOCK_CLOEXEC)), ""};
  return "";
}

std::string Player::Send(const Peer& peer, const std::string& text) {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t written = send(peer.socket.fd(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (written < 0)
      return std::string("cannot send: ") + std::strerror(errno);
    sent += static_cast<std::size_t>(written);
  }
  return "";
}

// Closes the connection. With `reset` a TCP reset ends it, as that of a process that dies.
std::string Player::Remove(const std::string& name, bool reset) {
  const auto peer = peers_.find(name);
  const linger reset_on_close{1, 0};
  if (reset)
    setsockopt(peer->second.socket.fd(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  peers_.erase(peer);
  return "";
}

Player::ReadResult Player::ReadMore(Peer* peer) const {
  pollfd ready{peer->socket.fd(), POLLIN, 0};
  if (poll(&ready, 1, timeout_ms_) != 1)
    return ReadResult::kTimedOut;
  char buffer[16 * 1024];
  const ssize_t received = recv(peer->socket.fd(), buffer, sizeof(buffer), 0);
  if (received <= 0)
    return ReadResult::kEnded;
  peer->unread.append(buffer, static_cast<std::size_t>(received));
  return ReadResult::kRead;
}

std::string Player::Expect(Peer* peer, const std::string& wanted) {
  while (true) {
    const BlockMatch match = MatchBlock(wanted, peer->unread);
    if (match.length) {
      peer->unread.erase(0, *match.length);
      return "";
    }
    std::string difference = "the received bytes differ";
    if (match.needs_more) {
      const ReadResult result = ReadMore(peer);
      if (result == ReadResult::kRead)
        continue;
      difference = result == ReadResult::kEnded
                       ? "the connection ended"
                       : "no more bytes arrived within " + std::to_string(timeout_ms_) + " ms";
    }
    return difference + "; expected:\n" + Quote(wanted) + "  had:\n" + Quote(peer->unread);
  }
}

std::string Player::ExpectEnd(Peer* peer) {
  if (peer->unread.empty() && ReadMore(peer) == ReadResult::kEnded)
    return "";
  if (!peer->unread.empty())
    return "expected the end of the connection, had:\n" + Quote(peer->unread);
  return "expected the end of the connection, but it stayed open";
}

}  // namespace aldersill::tools
