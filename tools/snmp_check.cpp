// snmp_check PORT: walks ALDERSILL-MIB of a daemon on this machine and prints each variable with its value.
// Exit status: 0; 1 if there is no variable; 2 for wrong arguments or another error.
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <string>

#include "snmp_probe.h"

int main(int argc, char** argv) {
  try {
    if (argc != 2)
      throw std::invalid_argument("usage: snmp_check PORT");
    aldersill::tools::SnmpProbe probe(static_cast<std::uint16_t>(std::stoi(argv[1])));
    const auto all = probe.Walk(aldersill::tools::kAldersillMib);
    for (const auto& binding : all)
      std::printf("%s = %s\n", binding.id.c_str(), binding.value.c_str());
    if (all.empty())
      std::printf("no response from the agent, or it has no variables below %s\n",
                  aldersill::tools::kAldersillMib);
    return all.empty() ? 1 : 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "snmp_check: %s\n", e.what());
    return 2;
  }
}
