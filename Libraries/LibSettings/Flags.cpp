#include <LibSettings/Settings.h>

#include <gflags/gflags.h>

#include <cstdlib>

// Numbers are string flags, so that Settings::create() checks them and its
// errors name the permitted range.
DEFINE_string(duty, "", "all, gateway or control");
DEFINE_string(member_id, "", "id of this daemon, unique in the fleet");
DEFINE_string(failure_domain, "", "failure domain of this VM");
DEFINE_string(caller_address, "", "listening address for callers");
DEFINE_string(announce_address, "", "listening address for announcements");
DEFINE_string(operator_address, "", "listening address for operators");
DEFINE_string(peer_address, "", "listening address for other daemons");
DEFINE_string(advertise_peer_address, "",
              "peer address announced to other daemons");
DEFINE_string(seeds, "", "peer addresses of some daemons, A.B.C.D:PORT,...");
DEFINE_string(
    seed_peer_port, "",
    "peer port of the seeds, if their addresses name another listener");
DEFINE_string(status_address, "",
              "listening address for readiness and metrics");
DEFINE_string(first_start, "",
              "true when the whole system starts for the first time");
DEFINE_string(open_listeners, "",
              "true to accept operators, upstreams and peers without a token");
DEFINE_string(
    grace_s, "",
    "time limit of a graceful shutdown, seconds; may have a fraction");
DEFINE_string(grace_ms, "", "the same in milliseconds; only one may be set");
DEFINE_string(data_folder, "",
              "data folder; makes this daemon a control member");
DEFINE_string(address_file, "", "file to write the listening addresses to");
DEFINE_string(control_members, "", "ids of the control members, ID,...");
DEFINE_string(operator_token_file, "",
              "file with the access token of operators");
DEFINE_string(announce_token_file, "",
              "file with the access token of upstreams");
DEFINE_string(peer_token_file, "", "file with the access token of peers");
DEFINE_string(body_limit_bytes, "", "maximum size of a request body");
DEFINE_string(answer_limit_bytes, "", "maximum size of a response body");
DEFINE_string(receive_limit_bytes, "",
              "maximum bytes of all requests that are not answered yet");
DEFINE_string(memory_limit_mb, "",
              "memory of the process, from which other limits follow");
DEFINE_string(caller_connections_limit, "",
              "maximum number of connections of callers");
DEFINE_string(queue_limit, "",
              "maximum number of requests waiting in one queue");
DEFINE_string(
    retry_allowance, "",
    "retries of a service that the fleet may make in ten seconds beyond "
    "a share of its requests");
DEFINE_string(placement, "",
              "load or cost: how a gateway places requests on instances");
DEFINE_string(log_level, "", "debug, info, warning, error or off");
DEFINE_bool(check_settings, false, "check the settings and exit");

namespace jaybridge {

namespace {

constexpr const char *FlagNames[] = {"duty",
                                     "member-id",
                                     "seed-peer-port",
                                     "status-address",
                                     "first-start",
                                     "open-listeners",
                                     "grace-s",
                                     "grace-ms",
                                     "failure-domain",
                                     "caller-address",
                                     "announce-address",
                                     "operator-address",
                                     "peer-address",
                                     "advertise-peer-address",
                                     "seeds",
                                     "data-folder",
                                     "control-members",
                                     "address-file",
                                     "operator-token-file",
                                     "announce-token-file",
                                     "peer-token-file",
                                     "body-limit-bytes",
                                     "answer-limit-bytes",
                                     "receive-limit-bytes",
                                     "memory-limit-mb",
                                     "caller-connections-limit",
                                     "queue-limit",
                                     "retry-allowance",
                                     "placement",
                                     "log-level",
                                     "check-settings"};

char toUpperCase(char Character) {
  return Character >= 'a' && Character <= 'z'
             ? static_cast<char>(Character - 'a' + 'A')
             : Character;
}

std::string readFlagValue(const std::string &Flag) {
  std::string Name = Flag;
  for (char &Character : Name)
    Character = Character == '-' ? '_' : Character;
  gflags::CommandLineFlagInfo Info;
  if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info))
    return {};
  if (!Info.is_default)
    return Info.current_value;
  const char *EnvironmentValue =
      std::getenv(environmentVariableName(Flag).c_str());
  return EnvironmentValue ? EnvironmentValue : Info.default_value;
}

} // namespace

std::string environmentVariableName(const std::string &Flag) {
  std::string Name = "JAYBRIDGE_";
  for (char Character : Flag)
    Name += Character == '-' ? '_' : toUpperCase(Character);
  return Name;
}

Result<Settings> readSettings(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "gateway between callers and upstreams.\nEach flag can "
      "also be set by the environment variable JAYBRIDGE_ "
      "followed by its name in upper case.");
  gflags::SetVersionString(JAYBRIDGE_VERSION);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (ArgumentCount > 1)
    return Error{ErrorCode::Invalid,
                 std::string("unexpected argument '") + Arguments[1] + "'",
                 {}};
  SettingValues Values;
  for (const char *Flag : FlagNames)
    Values[Flag] = readFlagValue(Flag);
  return Settings::create(Values);
}

} // namespace jaybridge
