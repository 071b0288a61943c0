#include <LibHTTP/CallerListener.h>

#include <LibHTTP/CallerServer.h>

namespace jaybridge {

class CallerListener::Server : public CallerServer {
public:
  using CallerServer::CallerServer;
};

CallerListener::CallerListener(std::unique_ptr<Server> Running)
    : Server_(std::move(Running)) {}
CallerListener::~CallerListener() = default;
CallerListener::CallerListener(CallerListener &&) noexcept = default;
CallerListener &CallerListener::operator=(CallerListener &&) noexcept = default;

Result<CallerListener>
CallerListener::create(CallerListenerOptions Options,
                       CallerListenerCallbacks Callbacks) {
  auto Running =
      std::make_unique<Server>(std::move(Options), std::move(Callbacks));
  JAYBRIDGE_TRY_STATUS(Running->start());
  return CallerListener(std::move(Running));
}

const Endpoint &CallerListener::address() const { return Server_->address(); }
CallerListenerCounts CallerListener::counts() const {
  return Server_->counts();
}
void CallerListener::answer(const RequestId &Id, Answer Content,
                            ConfigurationVersion Version) {
  Server_->answer(Id, std::move(Content), Version);
}
void CallerListener::closeAfterAnswers() { Server_->closeAfterAnswers(); }
void CallerListener::stopAccepting() { Server_->stopAccepting(); }
bool CallerListener::waitUntilAnswered(Duration Timeout) {
  return Server_->waitUntilAnswered(Timeout);
}
void CallerListener::stop() { Server_->stop(); }

} // namespace jaybridge
