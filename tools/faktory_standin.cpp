// faktory_standin: pushes one client's job to a running daemon, or is a worker of one slot.
//   faktory_standin push PORT JOBTYPE JID [TENANT [DEADLINE_MS]]
//   faktory_standin work PORT WID JOBS [MS_EACH]
#include <chrono>
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "stand_ins.h"

namespace {

int Push(std::uint16_t port, int argc, char** argv) {
  nlohmann::json job = {{"jid", argv[4]}, {"jobtype", argv[3]}, {"args", nlohmann::json::array()}};
  if (argc > 5)
    job["custom"]["tenant"] = argv[5];
  if (argc > 6)
    job["custom"]["deadline_ms"] = std::stoi(argv[6]);
  aldersill::tools::FaktorySession session(port);
  const std::string reply = session.SendCommand("PUSH " + job.dump()).value_or("null");
  std::printf("%s\n", reply.c_str());
  return reply == "+OK" ? 0 : 1;
}

int Work(std::uint16_t port, int argc, char** argv) {
  const int jobs = std::stoi(argv[4]);
  const int each = argc > 5 ? std::stoi(argv[5]) : 100;
  aldersill::tools::FaktorySession session(port, argv[3]);
  for (int done = 0; done < jobs;) {
    const auto fetched = session.SendCommand("FETCH default");
    if (!fetched)
      continue;
    std::printf("%s\n", fetched->c_str());
    std::this_thread::sleep_for(std::chrono::milliseconds(each));
    const nlohmann::json job = nlohmann::json::parse(*fetched);
    std::printf(
        "%s\n",
        session.SendCommand("ACK " + nlohmann::json{{"jid", job.at("jid")}}.dump()).value_or("null").c_str());
    ++done;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  try {
    if (what == "push" && argc >= 5)
      return Push(static_cast<std::uint16_t>(std::stoi(argv[2])), argc, argv);
    if (what == "work" && argc >= 5)
      return Work(static_cast<std::uint16_t>(std::stoi(argv[2])), argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "faktory_standin: %s\n", e.what());
    return 1;
  }
  std::fprintf(stderr,
               "usage: faktory_standin push PORT JOBTYPE JID [TENANT [DEADLINE_MS]]\n"
               "       faktory_standin work PORT WID JOBS [MS_EACH]\n");
  return 2;
}
