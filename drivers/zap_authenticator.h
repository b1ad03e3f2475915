#ifndef DRIVERS_ZAP_AUTHENTICATOR_H_
#define DRIVERS_ZAP_AUTHENTICATOR_H_

#include <memory>
#include <string>
#include <vector>

namespace zmq {
class context_t;
}  // namespace zmq

namespace shallot {

/// Answers the authentication requests (ZeroMQ RFC 27, ZAP) of one ZeroMQ context on a dedicated
/// thread. Accepts CURVE clients whose public key is listed and rejects all others.
class ZapAuthenticator {
 public:
  /// `context` must outlive this object. `allowed` holds public keys in Z85 encoding. The handler
  /// is bound when the constructor returns; throws zmq::error_t if the context already has one.
  ZapAuthenticator(zmq::context_t* context, const std::vector<std::string>& allowed);
  /// Stops the thread. Close the listening sockets first: ZeroMQ accepts every CURVE client while
  /// no handler is bound.
  ~ZapAuthenticator();
  ZapAuthenticator(const ZapAuthenticator&) = delete;
  ZapAuthenticator& operator=(const ZapAuthenticator&) = delete;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Whether `text` is a CURVE key: 40 characters in Z85 encoding.
bool IsCurveKey(const std::string& text);

/// A CURVE key pair in Z85 encoding.
struct CurveKeyPair {
  std::string public_key;
  std::string secret_key;
};

/// Generates a key pair. Both keys are empty if libzmq was built without CURVE.
CurveKeyPair MakeCurveKeyPair();

}  // namespace shallot

#endif  // DRIVERS_ZAP_AUTHENTICATOR_H_
