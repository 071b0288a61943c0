#include <OperatorClient.h>

#include <curl/curl.h>

#include <fstream>
#include <memory>

namespace jaybridge {

namespace {

constexpr long ConnectTimeoutMilliseconds = 1000;
constexpr long CallTimeoutMilliseconds = 10000;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

class HeaderList {
public:
  HeaderList() = default;
  ~HeaderList() { curl_slist_free_all(Lines_); }
  HeaderList(const HeaderList &) = delete;
  HeaderList &operator=(const HeaderList &) = delete;

  void append(const std::string &Line) {
    Lines_ = curl_slist_append(Lines_, Line.c_str());
  }
  curl_slist *list() const { return Lines_; }

private:
  curl_slist *Lines_ = nullptr;
};

std::size_t appendToString(char *Data, std::size_t Size, std::size_t Count,
                           void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

Result<OperatorReply> callDaemon(const Endpoint &Daemon,
                                 const std::string &Token,
                                 const std::string &Path,
                                 const std::optional<std::string> &Body) {
  CurlHandle Handle(curl_easy_init(), &curl_easy_cleanup);
  JAYBRIDGE_VERIFY(Handle != nullptr);
  HeaderList Headers;
  if (!Token.empty())
    Headers.append("Authorization: Bearer " + Token);
  Headers.append("Content-Type: application/json");
  std::string Url = "http://" + Daemon.text() + Path;
  OperatorReply Reply;
  curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, Headers.list());
  curl_easy_setopt(Handle.get(), CURLOPT_CONNECTTIMEOUT_MS,
                   ConnectTimeoutMilliseconds);
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS, CallTimeoutMilliseconds);
  curl_easy_setopt(Handle.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, &appendToString);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEDATA, &Reply.Body_);
  if (Body) {
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Body->size()));
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDS, Body->c_str());
  }
  if (CURLcode Code = curl_easy_perform(Handle.get()); Code != CURLE_OK)
    return Error{ErrorCode::Unavailable,
                 Daemon.text() + ": " + curl_easy_strerror(Code),
                 {}};
  long Status = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Status);
  Reply.Status_ = StatusCode(static_cast<std::uint16_t>(Status));
  return Reply;
}

} // namespace

Result<OperatorClient> OperatorClient::create(std::vector<Endpoint> Daemons,
                                              const std::string &TokenFile) {
  if (Daemons.empty())
    return Error{ErrorCode::Invalid,
                 "--daemon must name at least one A.B.C.D:PORT", "daemon"};
  std::ifstream File(TokenFile);
  std::string Token;
  if (!std::getline(File, Token) || Token.empty())
    return Error{ErrorCode::Invalid,
                 "--token-file '" + TokenFile + "' is empty or cannot be read",
                 "token-file"};
  return OperatorClient(std::move(Daemons), std::move(Token));
}

Result<OperatorReply> OperatorClient::get(const std::string &Path) const {
  return call(Path, std::nullopt);
}

Result<OperatorReply> OperatorClient::post(const std::string &Path,
                                           const std::string &Body) const {
  return call(Path, Body);
}

Result<OperatorReply>
OperatorClient::call(const std::string &Path,
                     const std::optional<std::string> &Body) const {
  constexpr StatusCode Unavailable(503);
  Error LastError;
  for (const Endpoint &Daemon : Daemons_) {
    auto Reply = callDaemon(Daemon, Token_, Path, Body);
    if (Reply && Reply.value().Status_ != Unavailable)
      return Reply;
    LastError = Reply ? Error{ErrorCode::Unavailable, Reply.value().Body_, {}}
                      : Reply.takeError();
  }
  return LastError;
}

} // namespace jaybridge
