#include "eureka/client.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace heathturn {
namespace {

constexpr timeval reply_timeout{2, 0};
constexpr ev_ssize_t most_reply = ev_ssize_t{16} << 20;

std::string host_of(const Address& address) {
  const auto text = address.text();
  return text.substr(0, text.find(':'));
}

std::string escaped(const std::string& part) {
  char* out = evhttp_uriencode(part.c_str(), static_cast<ev_ssize_t>(part.size()), 0);
  const std::string text = out;
  free(out);
  return text;
}

}  // namespace

EurekaClient::EurekaClient(Clock& clock, TimerQueue& timers, event_base* base, EurekaConfig config,
                           LogSink log, Sink sink)
    : clock_(clock),
      timers_(timers),
      base_(base),
      config_(std::move(config)),
      log_(std::move(log)),
      sink_(std::move(sink)) {}

EurekaClient::~EurekaClient() {
  for (auto& call : calls_) evhttp_connection_free(call.connection);
}

void EurekaClient::start(const Address& own) {
  own_ = own;
  fetch();
  if (!config_.own_application.empty()) beat();
}

std::string EurekaClient::own_path() const {
  return "/apps/" + escaped(config_.own_application) + "/" + escaped(config_.own_instance);
}

// ---- HTTP -----------------------------------------------------------------------------------------------

/// A connection may not be freed within its own callback: it goes with the next request.
void EurekaClient::free_done() {
  calls_.remove_if([](const Call& call) {
    if (call.done) evhttp_connection_free(call.connection);
    return call.done;
  });
}

void EurekaClient::request(evhttp_cmd_type method, const std::string& path, const std::string& body,
                           Reply reply) {
  free_done();
  const auto host = host_of(config_.address);
  auto& call = calls_.emplace_back();
  call.owner = this;
  call.reply = std::move(reply);
  call.connection =
      evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host.c_str(), config_.address.port);
  evhttp_connection_set_timeout_tv(call.connection, &reply_timeout);
  evhttp_connection_set_max_body_size(call.connection, most_reply);
  evhttp_request* http = evhttp_request_new(
      [](evhttp_request* done, void* context) {
        auto& self = *static_cast<Call*>(context);
        self.done = true;
        // No reply at all comes as no request, or as one without a status.
        const int status = done == nullptr ? 0 : evhttp_request_get_response_code(done);
        std::string text;
        if (status != 0) {
          evbuffer* in = evhttp_request_get_input_buffer(done);
          text.resize(evbuffer_get_length(in));
          evbuffer_remove(in, text.data(), text.size());
        }
        const auto tell = std::move(self.reply);
        tell(status, text);
      },
      &call);
  evkeyvalq* headers = evhttp_request_get_output_headers(http);
  evhttp_add_header(headers, "Host", config_.address.text().c_str());
  evhttp_add_header(headers, "Accept", "application/json");
  evhttp_add_header(headers, "Connection", "close");
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(http), body.data(), body.size());
  }
  const auto target = config_.path + path;
  if (evhttp_make_request(call.connection, http, method, target.c_str()) != 0) {
    call.done = true;
    const auto tell = std::move(call.reply);
    timers_.schedule(clock_.now_ms(), [tell] { tell(0, ""); });
  }
}

// ---- The list -------------------------------------------------------------------------------------------

void EurekaClient::fetch() {
  const bool whole = !have_all_;
  request(EVHTTP_REQ_GET, whole ? "/apps" : "/apps/delta", "",
          [this, whole](int status, const std::string& body) { fetched(whole, status, body); });
}

/// An outage, or a reply that makes no sense, leaves the list as it was last heard.
void EurekaClient::fetched(bool whole, int status, const std::string& body) {
  bool heard = false;
  try {
    if (status != 200) throw InputError(status == 0 ? "no reply" : "status " + std::to_string(status));
    if (whole) {
      instances_.take_all(body);
      have_all_ = heard = true;
    } else if (instances_.take_delta(body)) {
      heard = true;
    } else {
      have_all_ = false;
      return fetch();
    }
  } catch (const InputError& error) {
    if (!outage_)
      log_(LogLevel::warn, "registry_unusable", {{"registry", config_.name}, {"fault", error.what()}});
    outage_ = true;
  }
  if (heard) {
    if (outage_) log_(LogLevel::info, "registry_back", {{"registry", config_.name}});
    outage_ = false;
    sink_();
  }
  timers_.schedule(clock_.now_ms() + config_.fetch_every_ms, [this] { fetch(); });
}

// ---- The own registration -------------------------------------------------------------------------------

void EurekaClient::register_self() {
  request(EVHTTP_REQ_POST, "/apps/" + escaped(config_.own_application),
          eureka_registration(config_.own_application, config_.own_instance, own_),
          [this](int status, const std::string&) {
            registered_ = status == 204 || status == 200;
            if (!registered_)
              log_(LogLevel::warn, "registration_failed", {{"registry", config_.name}, {"status", status}});
          });
}

void EurekaClient::beat() {
  if (leaving_) return;
  timers_.schedule(clock_.now_ms() + config_.heartbeat_ms, [this] { beat(); });
  if (!registered_) return register_self();
  request(EVHTTP_REQ_PUT, own_path() + "?status=UP", "", [this](int status, const std::string&) {
    // The registry has forgotten this program, in a restart of its own perhaps.
    if (status == 404 && !leaving_) register_self();
  });
}

void EurekaClient::deregister() {
  leaving_ = true;
  if (!registered_) return;
  deregistering_ = true;
  request(EVHTTP_REQ_DELETE, own_path(), "", [this](int, const std::string&) { deregistering_ = false; });
}

}  // namespace heathturn
