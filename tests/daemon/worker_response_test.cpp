// Which outcome a worker's response gives, however it is framed, cut or malformed, and what it may hold in
// memory.
#include <doctest/doctest.h>
#include <malloc.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <string>

#include "worker_client_scenario.h"

namespace aldersill::tests {
namespace {

// What the worker writes after it has read the request, and how it closes the connection, if it does.
struct ResponseCase {
  std::string what;
  std::string bytes;
  enum class Then { kNothing, kClose, kReset } then;
  Outcome outcome;
};

std::string Chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

TEST_CASE("the first final line is the result, whatever precedes or follows it") {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string until_end = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string done = R"({"id":"id","state":"done","result":"r"})";
  const std::string other = R"({"id":"other","state":"done","result":"x"})";
  const std::string failed = R"({"id":"id","state":"failed"})";
  const std::string returned = R"({"id":"id","state":"returned"})";
  const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(done.size()) + "\r\n\r\n";
  using Then = ResponseCase::Then;
  const ResponseCase cases[] = {
      {"whole", chunked + Chunk(done + "\n") + "0\r\n\r\n", Then::kNothing, Outcome::kServed},
      {"its framing not ended", chunked + Chunk(done + "\n"), Then::kNothing, Outcome::kServed},
      {"garbage in the place of the next chunk", chunked + Chunk(done + "\n") + "no chunk", Then::kNothing,
       Outcome::kServed},
      {"a second answer behind it", chunked + Chunk(done + "\n") + until_end + failed + "\n", Then::kNothing,
       Outcome::kServed},
      {"a second last line", chunked + Chunk(done + "\n" + failed + "\n"), Then::kNothing, Outcome::kServed},
      {"another request's line behind it", chunked + Chunk(done + "\n") + Chunk(other + "\n"), Then::kNothing,
       Outcome::kServed},
      {"another request's line before it", chunked + Chunk(other + "\n") + Chunk(done + "\n"), Then::kNothing,
       Outcome::kError},
      {"no line's end, sized", sized + done, Then::kNothing, Outcome::kServed},
      {"no line's end, chunked", chunked + Chunk(done) + "0\r\n\r\n", Then::kNothing, Outcome::kServed},
      {"no line's end, closed", until_end + done, Then::kClose, Outcome::kServed},
      {"no line's end, closed within the framing", chunked + Chunk(done), Then::kClose, Outcome::kServed},
      {"no line's end, handed back", chunked + Chunk(returned) + "0\r\n\r\n", Then::kNothing,
       Outcome::kRejected},
      {"cut before the last line",
       chunked + Chunk(R"({"id":"id","state":"running"})"
                       "\n"),
       Then::kClose, Outcome::kLost},
      {"cut in the last line", chunked + "40\r\n" + done.substr(0, done.size() - 1), Then::kClose,
       Outcome::kLost},
      {"cut in the last line, with its framing ended",
       chunked + Chunk(done.substr(0, done.size() - 1)) + "0\r\n\r\n", Then::kNothing, Outcome::kLost},
      {"reset in the last line", chunked + "40\r\n" + done.substr(0, 10), Then::kReset, Outcome::kLost},
      {"reset before any", "", Then::kReset, Outcome::kLost},
      {"closed before any", "", Then::kClose, Outcome::kLost},
      {"half a head", chunked.substr(0, 20), Then::kClose, Outcome::kLost},
      {"another's at its end", chunked + Chunk(other) + "0\r\n\r\n", Then::kNothing, Outcome::kLost},
      {"no HTTP", "hello\r\n\r\n", Then::kNothing, Outcome::kError},
      {"a line without end", chunked + Chunk(std::string(200'000, 'x')), Then::kNothing, Outcome::kError},
      {"a head without end", "HTTP/1.1 200 OK\r\nX: " + std::string(200'000, 'x'), Then::kNothing,
       Outcome::kError},
      {"a chunk's extension without end", chunked + "1;" + std::string(200'000, 'x'), Then::kNothing,
       Outcome::kError},
      {"an error's body without end", "HTTP/1.1 500 No\r\n\r\n" + std::string(200'000, 'x'), Then::kNothing,
       Outcome::kError},
  };
  for (const ResponseCase& response : cases) {
    CAPTURE(response.what);
    WorkerClientScenario scenario;
    scenario.Start();
    OwnedSocket peer(scenario.Accept());
    scenario.RunUntilSent();
    REQUIRE(IsCompleteRequest(Peek(peer)));
    if (response.then != ResponseCase::Then::kReset) {  // otherwise the request stays unread, so that the
                                                        // close resets the connection
      char bytes[4096];
      REQUIRE(recv(peer.fd(), bytes, sizeof(bytes), 0) > 0);
    }
    for (std::size_t sent = 0; sent < response.bytes.size() && !scenario.ended;) {
      const ssize_t written = send(peer.fd(), response.bytes.data() + sent, response.bytes.size() - sent,
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
      if (written > 0)
        sent += static_cast<std::size_t>(written);
      if (sent < response.bytes.size())
        scenario.RunTurn();
    }
    if (response.then != ResponseCase::Then::kNothing)
      peer.Close();
    REQUIRE(scenario.RunUntilEnded());
    CHECK(scenario.ended->outcome == response.outcome);
    CHECK(scenario.ended->result == std::string(response.outcome == Outcome::kServed ? "r" : ""));
  }
}

TEST_CASE("an endless response buffers one line at most and ends when the attempt is stopped") {
  const std::string endless[] = {"{\"id\":\"id\",\"state\":\"running\",\"share\":0.5}\n", "\n", " \r\n"};
  for (const std::string& line : endless) {
    CAPTURE(line);
    WorkerClientScenario scenario;
    scenario.Start();
    const OwnedSocket peer(scenario.Accept());
    scenario.RunUntilSent();
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\n";
    while (bytes.size() < (std::size_t{4} << 20))
      bytes += line;
    const std::size_t before = mallinfo2().uordblks;
    std::size_t peak = 0;
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t written =
          send(peer.fd(), bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (written > 0)
        sent += static_cast<std::size_t>(written);
      scenario.RunTurn();
      peak = std::max(peak, mallinfo2().uordblks);
    }
    CHECK(peak < before + (std::size_t{1} << 20));
    CHECK_FALSE(scenario.ended);
    scenario.client.Stop(kAttempt);
    scenario.RunTurns(3);
    CHECK(peer.WaitReadable());  // its close
    CHECK_FALSE(scenario.ended);
  }
}

}  // namespace
}  // namespace aldersill::tests
