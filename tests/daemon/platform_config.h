// Platform configurations with which the tests start the program.
#ifndef ALDERSILL_TESTS_DAEMON_PLATFORM_CONFIG_H_
#define ALDERSILL_TESTS_DAEMON_PLATFORM_CONFIG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "daemon_under_test.h"

namespace aldersill::tests {

// The tenant of all requests in these tests.
inline constexpr const char* kTenant = "hogar-del-sur";

inline std::string LoopbackAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Returns the configuration of the recorded exchanges without discovery, so that its known workers are the
// only ones.
inline nlohmann::json ConfigWithoutDiscovery() {
  nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  config.erase("discovery");
  return config;
}

// Returns a ready worker as an entry of the configuration's list of known servers.
inline nlohmann::json KnownServer(const std::string& id, std::uint16_t port) {
  return {{"id", id}, {"addr", LoopbackAddress(port)}, {"zone", "quilicura"}, {"state", "SERVING"}};
}

// Raises all tenants' quotas, so that no request of a test waits for its tenant's tokens.
inline void RaiseTenantQuotas(nlohmann::json* config) {
  for (auto& tenant : (*config)["settings"]["tenants"])
    tenant["quotaPerS"] = 1000.0;
}

// An operator's file without settings.
inline const nlohmann::json kNoOperatorSettings = nlohmann::json::object();

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_PLATFORM_CONFIG_H_
