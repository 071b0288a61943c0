#include <Support/ProcessFleet.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace jaybridge {

namespace {

void writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream(Path) << Text << "\n";
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Reads the lines NAME=ADDRESS that a daemon writes once it listens.
bool readAddresses(const std::string &Path, DaemonAddresses &Out) {
  std::map<std::string, Endpoint *> Fields = {
      {"callers", &Out.Callers_},
      {"announcements", &Out.Announcements_},
      {"operators", &Out.Operators_},
      {"peers", &Out.Peers_}};
  std::istringstream Lines(readFile(Path));
  for (std::string Line; std::getline(Lines, Line);) {
    std::size_t Equals = Line.find('=');
    auto Field = Fields.find(Line.substr(0, Equals));
    if (Field == Fields.end())
      return false;
    auto Address = Endpoint::create(Line.substr(Equals + 1));
    if (!Address)
      return false;
    *Field->second = Address.takeValue();
    Fields.erase(Field);
  }
  return Fields.empty();
}

std::string joinedWords(const std::vector<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "" : ",") + Word;
  return Text;
}

} // namespace

ProcessFleet::ProcessFleet() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "jaybridge-XXXXXX").string();
  JAYBRIDGE_VERIFY(::mkdtemp(Template.data()) != nullptr);
  Folder_ = Template;
  for (const char *Token : {"operator", "announce", "peer"})
    writeFile(Folder_ + "/" + Token + ".token",
              std::string(Token) + "-token-of-a-test");
}

ProcessFleet::~ProcessFleet() {
  Daemons_.clear();
  Upstreams_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string ProcessFleet::joined(Endpoint DaemonAddresses::*Which) const {
  std::vector<std::string> Texts;
  for (const auto &[Id, Addresses] : Addresses_)
    Texts.push_back((Addresses.*Which).text());
  return joinedWords(Texts);
}

bool ProcessFleet::startDaemon(const DaemonOptions &Plan) {
  std::string AddressFile = Folder_ + "/" + Plan.Id_ + ".addresses";
  std::filesystem::remove(AddressFile);
  std::vector<std::string> Flags = {
      "--member_id=" + Plan.Id_,
      "--failure_domain=" + Plan.Domain_,
      "--caller_address=" + Plan.Address_ + ":0",
      "--announce_address=" + Plan.Address_ + ":0",
      "--operator_address=" + Plan.Address_ + ":0",
      "--peer_address=" + Plan.Address_ + ":0",
      "--seeds=" + joined(&DaemonAddresses::Peers_),
      "--control_members=" + joinedWords(ControlMembers_),
      "--operator_token_file=" + Folder_ + "/operator.token",
      "--announce_token_file=" + Folder_ + "/announce.token",
      "--peer_token_file=" + Folder_ + "/peer.token",
      "--address_file=" + AddressFile};
  if (Plan.HasDataFolder_)
    Flags.push_back("--data_folder=" + Folder_ + "/" + Plan.Id_ + ".data");
  Daemons_.insert_or_assign(
      Plan.Id_, ChildProcess(JAYBRIDGED_PROGRAM, Flags, logOf(Plan.Id_)));
  DaemonAddresses Addresses;
  if (!waitUntil([&] { return readAddresses(AddressFile, Addresses); }))
    return false;
  Addresses_[Plan.Id_] = Addresses;
  return true;
}

void ProcessFleet::startUpstream(const UpstreamOptions &Plan) {
  std::vector<std::string> Flags = {
      "--instance=" + Plan.Instance_,
      "--service=" + Plan.Service_,
      "--failure_domain=" + Plan.Domain_,
      "--address=" + Plan.Address_ + ":0",
      "--announce=" + joined(&DaemonAddresses::Announcements_),
      "--token_file=" + Folder_ + "/announce.token"};
  Flags.insert(Flags.end(), Plan.ExtraFlags_.begin(), Plan.ExtraFlags_.end());
  Upstreams_.insert_or_assign(
      Plan.Instance_,
      ChildProcess(FAKE_UPSTREAM_PROGRAM, Flags, logOf(Plan.Instance_)));
}

Result<Endpoint>
ProcessFleet::upstreamAddress(const std::string &Instance) const {
  std::istringstream Log(readFile(logOf(Instance)));
  std::string Word;
  std::string Address;
  Log >> Word >> Address;
  return Endpoint::create(Address);
}

std::pair<int, std::string>
ProcessFleet::runTool(const std::vector<std::string> &Words) {
  std::vector<std::string> Arguments = {
      "--daemon=" + joined(&DaemonAddresses::Operators_),
      "--token_file=" + Folder_ + "/operator.token"};
  Arguments.insert(Arguments.end(), Words.begin(), Words.end());
  std::string Output = Folder_ + "/tool.output";
  std::filesystem::remove(Output);
  ChildProcess Tool(JAYBRIDGE_PROGRAM, Arguments, Output);
  int Code = Tool.wait();
  return {Code, readFile(Output)};
}

} // namespace jaybridge
