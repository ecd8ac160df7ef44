// Plays a recorded byte exchange from a text file against a running daemon and tells where it differs. The
// format is in docs/rehearsal.md; the tests of the network code use this same player.
#ifndef ALDERSILL_TOOLS_PLAYER_H_
#define ALDERSILL_TOOLS_PLAYER_H_

#include <netinet/in.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace aldersill::tools {

// A file descriptor that closes itself.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }
  int fd() const { return fd_; }
  void Close();
  int Release();

 private:
  int fd_;
};

sockaddr_in Loopback(std::uint16_t port);
// Loopback only: both throw std::runtime_error.
Socket ListenOn(std::uint16_t port);  // 0: the kernel chooses
Socket ConnectTo(std::uint16_t port);
std::uint16_t PortOf(const Socket& socket);

class Player {
 public:
  // `doors`: where the daemon listens, by the name that `connect` uses.
  explicit Player(std::map<std::string, std::uint16_t> daemon_listeners, int timeout_ms = 10'000)
      : daemon_listeners_(std::move(daemon_listeners)), timeout_ms_(timeout_ms) {}

  // Binds a stand-in's listener before the file names it; its port.
  std::uint16_t Listen(const std::string& name, std::uint16_t port = 0);
  void AddDaemonListener(const std::string& name, std::uint16_t port) { daemon_listeners_[name] = port; }

  // Empty if all went as recorded, else what differed, line numbers included.
  std::string Play(const std::string& text);

 private:
  struct Step {
    int line = 0;
    std::vector<std::string> words;
    std::string block;  // the `|` lines that follow
  };
  struct Peer {
    Socket socket;
    std::string unread;
  };
  static std::vector<Step> Parse(const std::string& text);
  std::string Perform(const Step& step);
  std::string Expect(Peer* peer, const std::string& wanted);
  std::string ExpectEnd(Peer* peer);
  // False at the end of the stream or once patience is over.
  bool ReadMore(Peer* peer, bool* ended);
  std::string Fill(const std::string& block) const;

  std::map<std::string, std::uint16_t> daemon_listeners_;
  int timeout_ms_;
  std::map<std::string, Socket> listeners_;
  std::map<std::string, Peer> peers_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_PLAYER_H_
