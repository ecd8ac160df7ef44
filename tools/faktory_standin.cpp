// faktory_standin: acts as a Faktory client that pushes one job, or as a worker with one slot.
//   faktory_standin push PORT JOBTYPE JID [TENANT [DEADLINE_MS]]
//   faktory_standin work PORT WID JOBS [MS_EACH]
// Exit status: 0 on success, 1 if the daemon rejected the job or the connection failed, 2 for wrong
// arguments.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.h"

namespace {

using aldersill::tools::FaktorySession;
using Arguments = std::vector<std::string>;

constexpr std::size_t kMinArguments = 4;
constexpr int kDefaultJobMs = 100;

std::uint16_t ParsePort(const std::string& text) { return static_cast<std::uint16_t>(std::stoi(text)); }

// push PORT JOBTYPE JID [TENANT [DEADLINE_MS]]
int Push(const Arguments& arguments) {
  nlohmann::json job = {{"jid", arguments[3]}, {"jobtype", arguments[2]}, {"args", nlohmann::json::array()}};
  if (arguments.size() > 4)
    job["custom"]["tenant"] = arguments[4];
  if (arguments.size() > 5)
    job["custom"]["deadline_ms"] = std::stoi(arguments[5]);
  FaktorySession session(ParsePort(arguments[1]));
  const std::string reply = session.SendCommand("PUSH " + job.dump()).value_or("null");
  std::printf("%s\n", reply.c_str());
  return reply == "+OK" ? 0 : 1;
}

// work PORT WID JOBS [MS_EACH]
int Work(const Arguments& arguments) {
  const int jobs = std::stoi(arguments[3]);
  const std::chrono::milliseconds job_time(arguments.size() > 4 ? std::stoi(arguments[4]) : kDefaultJobMs);
  FaktorySession session(ParsePort(arguments[1]), arguments[2]);
  for (int done = 0; done < jobs;) {
    const auto fetched = session.SendCommand("FETCH default");
    if (!fetched)
      continue;
    std::printf("%s\n", fetched->c_str());
    std::this_thread::sleep_for(job_time);
    const nlohmann::json acknowledgement = {{"jid", nlohmann::json::parse(*fetched).at("jid")}};
    const std::string reply = session.SendCommand("ACK " + acknowledgement.dump()).value_or("null");
    std::printf("%s\n", reply.c_str());
    ++done;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argv + 1, argv + argc);
  try {
    if (arguments.size() >= kMinArguments && arguments[0] == "push")
      return Push(arguments);
    if (arguments.size() >= kMinArguments && arguments[0] == "work")
      return Work(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "faktory_standin: %s\n", error.what());
    return 1;
  }
  std::fprintf(stderr,
               "usage: faktory_standin push PORT JOBTYPE JID [TENANT [DEADLINE_MS]]\n"
               "       faktory_standin work PORT WID JOBS [MS_EACH]\n");
  return 2;
}
