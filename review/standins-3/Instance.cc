#include "Instance.hh"

#include "Record.hh"

#include <chrono>

namespace review {

namespace {

constexpr double BeatSeconds = 1.5;
constexpr Milliseconds AnnounceTimeout{1000};

} // namespace

long Instance::unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Instance::Instance(Fleet &System, std::string Name, std::string Service,
                   std::size_t Zone, Behaviour Respond)
    : System_(System), Name_(std::move(Name)), Service_(std::move(Service)),
      Zone_(Zone), Respond_(std::move(Respond)),
      Address_(System.nextInstanceAddress()), Born_(unixMilliseconds()),
      NextMember_(Zone) {
  Listener_ = std::thread([this] { run(); });
  Beats_ = std::thread([this] { beat(); });
}

Instance::~Instance() {
  IsStopping_ = true;
  {
    std::lock_guard Lock(Mutex_);
    for (const std::shared_ptr<Socket> &Open : Connections_)
      Open->shutdown();
  }
  Listener_.join();
  Beats_.join();
  for (std::thread &Session : Sessions_)
    Session.join();
}

std::vector<Arrival> Instance::arrivals() const {
  std::lock_guard Lock(Mutex_);
  return Arrivals_;
}

void Instance::run() {
  const Socket Listening = Socket::listenAt(Address_);
  while (!IsStopping_) {
    auto Accepted =
        std::make_shared<Socket>(Listening.accept(Milliseconds(20)));
    if (!Accepted->isOpen())
      continue;
    std::lock_guard Lock(Mutex_);
    Connections_.push_back(Accepted);
    Sessions_.emplace_back([this, Accepted] { serve(Accepted); });
  }
}

void Instance::serve(const std::shared_ptr<Socket> &Connection) {
  std::string Buffer;
  while (!IsStopping_) {
    auto Received = readMessage(*Connection, Buffer, Milliseconds(60000));
    if (!Received)
      return;
    const std::string Id = Received->header("Request-Id");
    const std::string Expected = Received->header("Expect-Instance");
    const std::string Own = id();
    if (Received->FirstLine_.find(" /health ") != std::string::npos) {
      Connection->sendAll("HTTP/1.1 200 OK\r\nInstance-Id: " + Own +
                          "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const bool IsOther = !Expected.empty() && Expected != Own;
    {
      std::lock_guard Lock(Mutex_);
      Arrivals_.push_back({now(), Id, Own, !IsOther});
    }
    if (IsOther) {
      record(Own + ": 421 to request " + Id + " for " + Expected);
      Connection->sendAll(
          "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + Id +
          "\r\nNot-Executed: other\r\n" + "Content-Length: 0\r\n\r\n");
      continue;
    }
    const Work Wanted = Respond_(*Received);
    record(Own + ": runs request " + Id);
    const double End = now() + Wanted.Seconds_;
    while (now() < End && !IsStopping_)
      sleepFor(std::min(0.02, End - now()));
    if (IsStopping_)
      return;
    if (!Connection->sendAll(
            "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
            "\r\nResponse-Signature: signed-by." + Own +
            "\r\nContent-Length: " + std::to_string(Wanted.ResponseBytes_) +
            "\r\n\r\n" + std::string(Wanted.ResponseBytes_, 'x')))
      return;
  }
}

std::string Instance::announcement(const std::string &State) {
  return R"({"Service":")" + Service_ + R"(","Address":")" + Address_.text() +
         R"(","Zone":")" + Fleet::zone(Zone_) +
         R"(","Version":"v1","Slots":4,"State":")" + State +
         R"(","WarmupLeftS":0,"Seq":)" + std::to_string(++Sequence_) +
         R"(,"born":)" + std::to_string(Born_) + "}";
}

bool Instance::call(const std::string &Method, const std::string &Body,
                    double Seconds) {
  const double End = now() + Seconds;
  do {
    const std::vector<Address> List = System_.callable();
    Call Sent;
    Sent.To_ = List[NextMember_ % List.size()];
    Sent.Method_ = Method;
    Sent.Path_ = "/jaybridge/instances/" + id();
    Sent.Headers_ = {"Host: " + Sent.To_.text(),
                     "Content-Type: application/json"};
    Sent.Body_ = Body;
    Sent.Timeout_ = AnnounceTimeout;
    Reply Received = send(Sent);
    for (int Redirects = 0; Received.Status_ == 307 && Redirects < 2;
         ++Redirects) {
      const std::string Location = Received.Message_.header("Location");
      const std::size_t Colon = Location.find(':', 7);
      Sent.To_ = {Location.substr(7, Colon - 7),
                  std::atoi(Location.c_str() + Colon + 1)};
      Received = send(Sent);
    }
    if (Received.Status_ >= 200 && Received.Status_ < 300)
      return true;
    ++NextMember_;
    sleepFor(0.1);
  } while (now() < End);
  return false;
}

void Instance::beat() {
  double Next = 0;
  while (!IsStopping_) {
    if (IsBeating_ && now() >= Next) {
      call("PUT", announcement("ready"), 0);
      Next = now() + BeatSeconds;
    }
    sleepFor(0.05);
  }
}

bool Instance::join(double Seconds) {
  if (!call("PUT", announcement("ready"), Seconds))
    return false;
  IsBeating_ = true;
  record(id() + " at " + Address_.text() + " is acknowledged as ready");
  return true;
}

bool Instance::leave(double Seconds) {
  IsBeating_ = false;
  const bool IsAcknowledged =
      call("DELETE", "{\"born\":" + std::to_string(Born_) + "}", Seconds);
  record(id() + ": departure " +
         (IsAcknowledged ? "is acknowledged" : "is not acknowledged"));
  return IsAcknowledged;
}

} // namespace review
