// Plays a recorded byte exchange from a text file against a running daemon and reports the first difference.
// docs/rehearsal.md describes the format of the file. The program `rehearse` and the network tests use it.
#ifndef ALDERSILL_TOOLS_PLAYER_H_
#define ALDERSILL_TOOLS_PLAYER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "exchange_file.h"
#include "loopback.h"

namespace aldersill::tools {

class Player {
 public:
  // `daemon_listeners`: the ports on which the daemon listens, by the names that `connect` steps use.
  // `timeout_ms`: limit of each wait for bytes, a connection or the end of one.
  explicit Player(std::map<std::string, std::uint16_t> daemon_listeners, int timeout_ms = 10'000)
      : daemon_listeners_(std::move(daemon_listeners)), timeout_ms_(timeout_ms) {}

  // Opens a listener as a `listen` step does, but before the file is played. Returns its port. With `port` 0
  // the kernel chooses a free port. Throws std::runtime_error on failure.
  std::uint16_t Listen(const std::string& name, std::uint16_t port = 0);
  void AddDaemonListener(const std::string& name, std::uint16_t port) { daemon_listeners_[name] = port; }

  // Returns an empty string if the exchange went as recorded, otherwise a text with the line number and the
  // difference.
  std::string Play(const std::string& text);

 private:
  // A connection that the steps refer to by a name.
  struct Peer {
    Socket socket;
    std::string unread;  // bytes received and not yet consumed by an `expect` step
  };
  enum class ReadResult { kRead, kEnded, kTimedOut };

  // These return an empty string on success, otherwise a text that describes the difference.
  std::string Perform(const ExchangeStep& step);
  std::string PerformOnPeer(const ExchangeStep& step);
  std::string Connect(const std::string& name, const std::string& listener);
  std::string Accept(const std::string& name, const std::string& listener);
  static std::string Send(const Peer& peer, const std::string& text);
  std::string Expect(Peer* peer, const std::string& wanted);
  std::string ExpectEnd(Peer* peer);
  std::string Remove(const std::string& name, bool reset);

  ReadResult ReadMore(Peer* peer) const;
  std::string Expand(const std::string& block) const;

  std::map<std::string, std::uint16_t> daemon_listeners_;
  int timeout_ms_;
  std::map<std::string, Socket> listeners_;
  std::map<std::string, Peer> peers_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_PLAYER_H_
