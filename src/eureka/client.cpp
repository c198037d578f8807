#include "eureka/client.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace heathturn {
namespace {

constexpr timeval reply_timeout{2, 0};
constexpr ev_ssize_t max_reply_bytes = ev_ssize_t{16} << 20;

std::string host_of(const Address& address) {
  const auto text = address.text();
  return text.substr(0, text.find(':'));
}

std::string percent_encode(const std::string& part) {
  char* out = evhttp_uriencode(part.c_str(), static_cast<ev_ssize_t>(part.size()), 0);
  const std::string text = out;
  free(out);
  return text;
}

}  // namespace

EurekaClient::EurekaClient(Clock& clock, TimerQueue& timers, event_base* base, EurekaConfig config,
                           LogSink log, UpdateCallback on_update)
    : clock_(clock),
      timers_(timers),
      base_(base),
      config_(std::move(config)),
      log_(std::move(log)),
      on_update_(std::move(on_update)) {}

EurekaClient::~EurekaClient() {
  for (auto& request : requests_) evhttp_connection_free(request.connection);
}

void EurekaClient::start(const Address& own_address) {
  own_address_ = own_address;
  fetch();
  if (!config_.own_application.empty()) heartbeat();
}

std::string EurekaClient::own_path() const {
  return "/apps/" + percent_encode(config_.own_application) + "/" + percent_encode(config_.own_instance);
}

// ---- HTTP -----------------------------------------------------------------------------------------------

/// A connection must not be freed in its own callback, so the next request frees it.
void EurekaClient::free_completed() {
  requests_.remove_if([](const Request& request) {
    if (request.done) evhttp_connection_free(request.connection);
    return request.done;
  });
}

void EurekaClient::send_request(evhttp_cmd_type method, const std::string& path, const std::string& body,
                                ReplyCallback on_reply) {
  free_completed();
  const auto host = host_of(config_.address);
  auto& request = requests_.emplace_back();
  request.owner = this;
  request.on_reply = std::move(on_reply);
  request.connection =
      evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host.c_str(), config_.address.port);
  evhttp_connection_set_timeout_tv(request.connection, &reply_timeout);
  evhttp_connection_set_max_body_size(request.connection, max_reply_bytes);
  evhttp_request* http = evhttp_request_new(
      [](evhttp_request* completed, void* context) {
        auto& self = *static_cast<Request*>(context);
        self.done = true;
        // Without a reply, libevent passes a null request or one with status 0.
        const int status = completed == nullptr ? 0 : evhttp_request_get_response_code(completed);
        std::string text;
        if (status != 0) {
          evbuffer* in = evhttp_request_get_input_buffer(completed);
          text.resize(evbuffer_get_length(in));
          evbuffer_remove(in, text.data(), text.size());
        }
        const auto callback = std::move(self.on_reply);
        callback(status, text);
      },
      &request);
  evkeyvalq* headers = evhttp_request_get_output_headers(http);
  evhttp_add_header(headers, "Host", config_.address.text().c_str());
  evhttp_add_header(headers, "Accept", "application/json");
  evhttp_add_header(headers, "Connection", "close");
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(http), body.data(), body.size());
  }
  const auto target = config_.path + path;
  if (evhttp_make_request(request.connection, http, method, target.c_str()) != 0) {
    request.done = true;
    const auto callback = std::move(request.on_reply);
    timers_.schedule(clock_.now_ms(), [callback] { callback(0, ""); });
  }
}

// ---- Fetching the list ---------------------------------------------------------------------------------

void EurekaClient::fetch() {
  const bool full = !has_full_list_;
  send_request(EVHTTP_REQ_GET, full ? "/apps" : "/apps/delta", "",
               [this, full](int status, const std::string& body) { on_fetched(full, status, body); });
}

/// If the registry does not answer, or sends an invalid reply, the list keeps its last valid state.
void EurekaClient::on_fetched(bool full, int status, const std::string& body) {
  bool updated = false;
  try {
    if (status != 200) throw InputError(status == 0 ? "no reply" : "status " + std::to_string(status));
    if (full) {
      instances_.apply_full(body);
      has_full_list_ = updated = true;
    } else if (instances_.apply_delta(body)) {
      updated = true;
    } else {
      has_full_list_ = false;
      return fetch();
    }
  } catch (const InputError& error) {
    if (!outage_)
      log_(LogLevel::warn, "registry_unusable", {{"registry", config_.name}, {"fault", error.what()}});
    outage_ = true;
  }
  if (updated) {
    if (outage_) log_(LogLevel::info, "registry_back", {{"registry", config_.name}});
    outage_ = false;
    on_update_();
  }
  timers_.schedule(clock_.now_ms() + config_.fetch_every_ms, [this] { fetch(); });
}

// ---- Registration of this program ----------------------------------------------------------------------

void EurekaClient::register_self() {
  send_request(
      EVHTTP_REQ_POST, "/apps/" + percent_encode(config_.own_application),
      eureka_registration(config_.own_application, config_.own_instance, own_address_),
      [this](int status, const std::string&) {
        registered_ = status == 204 || status == 200;
        if (!registered_)
          log_(LogLevel::warn, "registration_failed", {{"registry", config_.name}, {"status", status}});
      });
}

void EurekaClient::heartbeat() {
  if (leaving_) return;
  timers_.schedule(clock_.now_ms() + config_.heartbeat_ms, [this] { heartbeat(); });
  if (!registered_) return register_self();
  send_request(EVHTTP_REQ_PUT, own_path() + "?status=UP", "", [this](int status, const std::string&) {
    // The registry no longer knows this program, for example after a restart of the registry.
    if (status == 404 && !leaving_) register_self();
  });
}

void EurekaClient::deregister() {
  leaving_ = true;
  if (!registered_) return;
  deregistering_ = true;
  send_request(EVHTTP_REQ_DELETE, own_path(), "",
               [this](int, const std::string&) { deregistering_ = false; });
}

}  // namespace heathturn
