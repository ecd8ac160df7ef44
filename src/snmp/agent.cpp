#include "snmp/agent.h"

#include <sys/select.h>

// clang-format off
// Net-SNMP's headers depend on this order.
#include <net-snmp/net-snmp-config.h>
#include <net-snmp/net-snmp-includes.h>
#include <net-snmp/agent/net-snmp-agent-includes.h>
#include <net-snmp/library/snmpIPBaseDomain.h>
#include <net-snmp/library/snmpUDPDomain.h>
// clang-format on

#include <tcpd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "log/log.h"
#include "net/listener.h"

namespace aldersill::snmp {
namespace {

// The root is below netSnmpPlaypen, because the project has no enterprise number.
constexpr oid kRoot[] = {1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 7419};
constexpr std::size_t kRootLength = OID_LENGTH(kRoot);
constexpr char kAccess[] = "rocommunity public 127.0.0.0/8 .1.3.6.1.4.1.8072.9999.9999.7419";

// This is global, because the library's handlers get no pointer to the agent.
std::function<ObjectMap()> get_objects;

// Returns the part of the variable's object identifier below the root.
ObjectId BelowRoot(const netsnmp_variable_list* var) {
  ObjectId id;
  for (std::size_t i = kRootLength; i < var->name_length; ++i)
    id.push_back(var->name[i]);
  return id;
}

void SetValue(netsnmp_variable_list* var, const Value& value) {
  if (const auto* gauge = std::get_if<Gauge>(&value)) {
    snmp_set_var_typed_integer(var, ASN_GAUGE, gauge->value);
  } else if (const auto* counter = std::get_if<Counter>(&value)) {
    struct counter64 parts {};
    parts.high = counter->value >> 32;
    parts.low = counter->value & 0xffffffffU;
    snmp_set_var_typed_value(var, ASN_COUNTER64, &parts, sizeof(parts));
  } else {
    const auto& text = std::get<std::string>(value);
    snmp_set_var_typed_value(var, ASN_OCTET_STR, text.data(), text.size());
  }
}

void HandleGet(const ObjectMap& objects, netsnmp_agent_request_info* info, netsnmp_request_info* request) {
  netsnmp_variable_list* var = request->requestvb;
  const auto found = objects.find(BelowRoot(var));
  if (found != objects.end())
    SetValue(var, found->second);
  else
    netsnmp_set_request_error(info, request, SNMP_NOSUCHINSTANCE);
}

// If no object follows, the request stays unchanged and the library continues with the next MIB.
void HandleGetNext(const ObjectMap& objects, netsnmp_variable_list* var) {
  const bool is_before_root = snmp_oid_compare(var->name, var->name_length, kRoot, kRootLength) < 0;
  const auto next = is_before_root ? objects.begin() : objects.upper_bound(BelowRoot(var));
  if (next == objects.end())
    return;
  std::vector<oid> name(kRoot, kRoot + kRootLength);
  name.insert(name.end(), next->first.begin(), next->first.end());
  snmp_set_var_objid(var, name.data(), name.size());
  SetValue(var, next->second);
}

int HandleRequests(netsnmp_mib_handler* /*handler*/, netsnmp_handler_registration* /*registration*/,
                   netsnmp_agent_request_info* info, netsnmp_request_info* requests) {
  const ObjectMap objects = get_objects();
  for (netsnmp_request_info* request = requests; request != nullptr; request = request->next) {
    if (request->processed != 0)
      continue;
    if (info->mode == MODE_GET)
      HandleGet(objects, info, request);
    else if (info->mode == MODE_GETNEXT)
      HandleGetNext(objects, request->requestvb);
  }
  return SNMP_ERR_NOERROR;
}

int OnLibraryLog(int /*major*/, int /*minor*/, void* message, void* /*argument*/) {
  Log(LogLevel::kWarning, "snmp_library", {{"text", static_cast<const snmp_log_message*>(message)->msg}});
  return 0;
}

// Keeps the library from looking up names and from reading or writing the machine's files, by pointing its
// paths to /dev/null.
void IsolateLibrary() {
  setenv("MIBS", "", 1);
  setenv("MIBDIRS", "/dev/null", 1);
  set_persistent_directory("/dev/null");
  set_configuration_directory("/dev/null");
  for (const int option : {NETSNMP_DS_LIB_DONT_READ_CONFIGS, NETSNMP_DS_LIB_DONT_PERSIST_STATE,
                           NETSNMP_DS_LIB_DISABLE_PERSISTENT_LOAD, NETSNMP_DS_LIB_DISABLE_PERSISTENT_SAVE,
                           NETSNMP_DS_LIB_DONT_LOAD_HOST_FILES})
    netsnmp_ds_set_boolean(NETSNMP_DS_LIBRARY_ID, option, 1);
  netsnmp_ds_set_boolean(NETSNMP_DS_APPLICATION_ID, NETSNMP_DS_AGENT_DONT_LOG_TCPWRAPPERS_CONNECTS, 1);
  // The library checks the TCP wrappers' access files for each packet.
  static char no_file[] = "/dev/null";
  hosts_allow_table = no_file;
  hosts_deny_table = no_file;
}

// Passes the library's log messages to Log().
void RedirectLibraryLog() {
  snmp_disable_log();
  snmp_enable_calllog();
  snmp_register_callback(SNMP_CALLBACK_LIBRARY, SNMP_CALLBACK_LOGGING, &OnLibraryLog, nullptr);
}

void RegisterMib() {
  netsnmp_handler_registration* registration = netsnmp_create_handler_registration(
      "aldersill", &HandleRequests, kRoot, kRootLength, HANDLER_CAN_RONLY);
  if (registration == nullptr || netsnmp_register_handler(registration) != MIB_REGISTERED_OK)
    throw std::runtime_error("snmp: cannot register the MIB");
}

// Returns the socket, which the library owns. Throws std::runtime_error if the agent cannot listen, or if the
// descriptor is too large for select().
int ListenOnUdp(const Endpoint& listen) {
  netsnmp_ep endpoint{};
  endpoint.a.sin = ToSockaddr(listen);
  netsnmp_transport* transport = netsnmp_udp_transport(&endpoint, /*local=*/1);
  if (transport == nullptr || netsnmp_register_agent_nsap(transport) == 0)
    throw std::runtime_error("snmp.listen: cannot listen on " + listen.host + ":" +
                             std::to_string(listen.port));
  if (transport->sock >= FD_SETSIZE)
    throw std::runtime_error("snmp.listen: no descriptor below FD_SETSIZE left");
  return transport->sock;
}

}  // namespace

Agent::Agent(event_base* base, const Endpoint& listen, std::function<ObjectMap()> objects) {
  get_objects = std::move(objects);
  IsolateLibrary();
  RedirectLibraryLog();
  init_agent("aldersill");
  netsnmp_config_remember(const_cast<char*>(kAccess));
  init_snmp("aldersill");
  RegisterMib();
  const int socket = ListenOnUdp(listen);
  port_ = LocalPort(socket);
  readable_.reset(event_new(base, socket, EV_READ | EV_PERSIST, &Agent::OnReadable, this));
  event_add(readable_.get(), nullptr);
}

Agent::~Agent() {
  readable_.reset();
  snmp_shutdown("aldersill");
  shutdown_agent();
}

void Agent::OnReadable(evutil_socket_t fd, short /*what*/, void* /*self*/) {
  fd_set ready;
  FD_ZERO(&ready);
  FD_SET(fd, &ready);
  snmp_read(&ready);
  netsnmp_check_outstanding_agent_requests();
}

}  // namespace aldersill::snmp
