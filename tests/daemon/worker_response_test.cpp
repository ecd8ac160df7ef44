// Tests which outcome a worker's response has, depending on how it is framed, truncated or malformed, and how
// much memory it may use.
#include <doctest/doctest.h>
#include <malloc.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <string>

#include "worker_client_scenario.h"

namespace aldersill::tests {
namespace {

struct ResponseCase {
  std::string name;
  std::string bytes;                                        // written by the worker after the request
  enum class Ending { kStaysOpen, kClose, kReset } ending;  // of the connection, by the worker
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
  using Ending = ResponseCase::Ending;
  const ResponseCase cases[] = {
      {"complete", chunked + Chunk(done + "\n") + "0\r\n\r\n", Ending::kStaysOpen, Outcome::kServed},
      {"framing not ended", chunked + Chunk(done + "\n"), Ending::kStaysOpen, Outcome::kServed},
      {"garbage instead of the next chunk", chunked + Chunk(done + "\n") + "no chunk", Ending::kStaysOpen,
       Outcome::kServed},
      {"followed by a second response", chunked + Chunk(done + "\n") + until_end + failed + "\n",
       Ending::kStaysOpen, Outcome::kServed},
      {"a second final line", chunked + Chunk(done + "\n" + failed + "\n"), Ending::kStaysOpen,
       Outcome::kServed},
      {"followed by another request's line", chunked + Chunk(done + "\n") + Chunk(other + "\n"),
       Ending::kStaysOpen, Outcome::kServed},
      {"preceded by another request's line", chunked + Chunk(other + "\n") + Chunk(done + "\n"),
       Ending::kStaysOpen, Outcome::kError},
      {"no line end, with Content-Length", sized + done, Ending::kStaysOpen, Outcome::kServed},
      {"no line end, chunked", chunked + Chunk(done) + "0\r\n\r\n", Ending::kStaysOpen, Outcome::kServed},
      {"no line end, closed", until_end + done, Ending::kClose, Outcome::kServed},
      {"no line end, closed before the end of the framing", chunked + Chunk(done), Ending::kClose,
       Outcome::kServed},
      {"no line end, returned", chunked + Chunk(returned) + "0\r\n\r\n", Ending::kStaysOpen,
       Outcome::kRejected},
      {"truncated before the final line",
       chunked + Chunk(R"({"id":"id","state":"running"})"
                       "\n"),
       Ending::kClose, Outcome::kLost},
      {"truncated in the final line", chunked + "40\r\n" + done.substr(0, done.size() - 1), Ending::kClose,
       Outcome::kLost},
      {"truncated in the final line, framing ended",
       chunked + Chunk(done.substr(0, done.size() - 1)) + "0\r\n\r\n", Ending::kStaysOpen, Outcome::kLost},
      {"reset in the final line", chunked + "40\r\n" + done.substr(0, 10), Ending::kReset, Outcome::kLost},
      {"reset before any byte", "", Ending::kReset, Outcome::kLost},
      {"closed before any byte", "", Ending::kClose, Outcome::kLost},
      {"incomplete response head", chunked.substr(0, 20), Ending::kClose, Outcome::kLost},
      {"only another request's line", chunked + Chunk(other) + "0\r\n\r\n", Ending::kStaysOpen,
       Outcome::kLost},
      {"not HTTP", "hello\r\n\r\n", Ending::kStaysOpen, Outcome::kError},
      {"endless line", chunked + Chunk(std::string(200'000, 'x')), Ending::kStaysOpen, Outcome::kError},
      {"endless response head", "HTTP/1.1 200 OK\r\nX: " + std::string(200'000, 'x'), Ending::kStaysOpen,
       Outcome::kError},
      {"endless chunk extension", chunked + "1;" + std::string(200'000, 'x'), Ending::kStaysOpen,
       Outcome::kError},
      {"endless body of an error response", "HTTP/1.1 500 No\r\n\r\n" + std::string(200'000, 'x'),
       Ending::kStaysOpen, Outcome::kError},
  };
  for (const ResponseCase& response : cases) {
    CAPTURE(response.name);
    WorkerClientScenario scenario;
    scenario.Start();
    OwnedSocket peer(scenario.Accept());
    scenario.RunUntilSent();
    REQUIRE(IsCompleteRequest(Peek(peer)));
    // For kReset the request stays unread, so that closing the socket resets the connection.
    if (response.ending != ResponseCase::Ending::kReset) {
      char bytes[4096];
      REQUIRE(recv(peer.fd(), bytes, sizeof(bytes), 0) > 0);
    }
    for (std::size_t sent = 0; sent < response.bytes.size() && !scenario.ended;) {
      const ssize_t written = send(peer.fd(), response.bytes.data() + sent, response.bytes.size() - sent,
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
      if (written > 0)
        sent += static_cast<std::size_t>(written);
      if (sent < response.bytes.size())
        scenario.RunLoopOnce();
    }
    if (response.ending != ResponseCase::Ending::kStaysOpen)
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
      scenario.RunLoopOnce();
      peak = std::max(peak, mallinfo2().uordblks);
    }
    CHECK(peak < before + (std::size_t{1} << 20));
    CHECK_FALSE(scenario.ended);
    scenario.client.Stop(kAttempt);
    scenario.RunLoop(3);
    CHECK(peer.WaitReadable());  // the connection was closed
    CHECK_FALSE(scenario.ended);
  }
}

}  // namespace
}  // namespace aldersill::tests
