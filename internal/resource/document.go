package resource

// DecodeDocument reads one document, YAML or JSON, as strictly as Decode but
// without resolving references. Faults carry the document number, which counts
// from 1.
func DecodeDocument(data []byte, number int) (Resource, Faults) {
	list := &faultList{document: number}
	r, ok := decodeDocument(list, data)
	if !ok {
		return Resource{}, list.faults
	}
	validateName(list, "metadata.name", r.Metadata.Name)
	r.Spec.validate(list)
	return r, list.faults
}
